/**
 * @file counter.h
 * @brief The process's counters and their rendering for /metrics.
 *
 * Prefix: counter_. There is one counter for each outcome, refusal and retry
 * reason.
 */
#ifndef COUNTER_H
#define COUNTER_H

#include <glib.h>
#include <stdint.h>

#include "outcome.h"

/** List of counters: identifier, metric name with labels, help text. */
#define COUNTER_LIST(X)                                                        \
	X(REQUESTS, "requests_total", "requests received")                     \
	X(ATTEMPTS, "attempts_total", "attempts sent to backend servers")      \
	X(ATTEMPT_NOT_SENT, "attempt_failures_total{reason=\"not-sent\"}",     \
	  "attempts without a connection")                                     \
	X(ATTEMPT_TIMEOUT, "attempt_failures_total{reason=\"timeout\"}",       \
	  "attempts without a response in time")                               \
	X(ATTEMPT_CUT, "attempt_failures_total{reason=\"cut\"}",               \
	  "attempts whose connection broke")                                   \
	X(ATTEMPT_MISMATCH, "attempt_failures_total{reason=\"mismatch\"}",     \
	  "responses that belong to another request")                          \
	X(ATTEMPT_TOO_LARGE, "attempt_failures_total{reason=\"too-large\"}",   \
	  "responses over the size limit")                                     \
	X(RETRY_NOT_SENT, "retries_total{reason=\"not-sent\"}",                \
	  "retries of attempts that were not sent")                            \
	X(RETRY_IDEMPOTENT, "retries_total{reason=\"idempotent\"}",            \
	  "retries of idempotent requests")                                    \
	X(RETRY_DENIED_BUDGET, "retries_denied_total{reason=\"budget\"}",      \
	  "retries denied by the budget")                                      \
	X(RETRY_DENIED_LIMIT, "retries_denied_total{reason=\"limit\"}",        \
	  "retries denied by the limit of one request")                        \
	X(RETRY_DENIED_QUEUE, "retries_denied_total{reason=\"queue\"}",        \
	  "retries denied because the queue was full")                         \
	X(RETRY_DENIED_POISON, "retries_denied_total{reason=\"poison\"}",      \
	  "retries denied because the request failed on several VMs")          \
	X(EJECTIONS, "ejections_total", "backend servers ejected")             \
	X(LEAVING_LIST, "leaving_signals_total{source=\"list\"}",              \
	  "VMs that the platform's list showed as leaving")                    \
	X(LEAVING_SERVER, "leaving_signals_total{source=\"server\"}",          \
	  "backend servers that announced that they are draining")             \
	X(LEAVING_PEER, "leaving_signals_total{source=\"peer\"}",              \
	  "VMs that a peer reported as draining")                              \
	X(SLOT_REPORTS, "slot_messages_total{kind=\"report\"}",                \
	  "slot reports sent to owners")                                       \
	X(SLOT_GRANTS, "slot_messages_total{kind=\"grant\"}",                  \
	  "slot grants sent to holders")                                       \
	X(SLOT_FALLBACKS, "slot_fallback_attempts_total",                      \
	  "attempts on the static share while the owner does not answer")      \
	X(HEADS_HEARD, "heads_heard_total",                                    \
	  "heads received from peers and the platform")                        \
	X(HEADS_STALE, "heads_stale_total", "heads older than the known one")  \
	X(HEADS_MALFORMED, "heads_malformed_total",                            \
	  "heads read from the platform that cannot be parsed")                \
	X(BUNDLES_APPLIED, "bundles_applied_total", "bundles put in force")    \
	X(BUNDLES_REFUSED, "bundles_refused_total",                            \
	  "bundles refused by digest, signature or content")                   \
	X(PLACEMENTS_APPLIED, "placements_applied_total",                      \
	  "placements applied")                                                \
	X(PLATFORM_ERRORS, "platform_errors_total",                            \
	  "calls to the platform that failed")                                 \
	X(MANAGER_TERMS, "manager_terms_total",                                \
	  "times this process became manager")                                 \
	X(MANAGER_WRITES, "manager_writes_total",                              \
	  "placements written as manager")                                     \
	X(CHANGE_FILL, "placement_changes_total{reason=\"fill\"}",             \
	  "placement rows changed")                                            \
	X(CHANGE_DEMAND, "placement_changes_total{reason=\"demand\"}",         \
	  "placement rows changed")                                            \
	X(CHANGE_NOT_ALLOWED,                                                  \
	  "placement_changes_total{reason=\"not-allowed\"}",                   \
	  "placement rows changed")                                            \
	X(CHANGE_WAVE, "placement_changes_total{reason=\"wave\"}",             \
	  "placement rows changed")                                            \
	X(CHANGE_WAVE_DONE, "placement_changes_total{reason=\"wave-done\"}",   \
	  "placement rows changed")                                            \
	X(CHANGE_FAILURE, "placement_changes_total{reason=\"failure\"}",       \
	  "placement rows changed")                                            \
	X(CHANGE_RETURN, "placement_changes_total{reason=\"return\"}",         \
	  "placement rows changed")                                            \
	X(VM_ACTIONS, "vm_actions_total",                                      \
	  "actions on VMs requested as manager")                               \
	X(VM_ACTION_ERRORS, "vm_action_errors_total",                          \
	  "actions on VMs that were refused or not answered")                  \
	X(WAVE_HALTS, "wave_halts_total", "maintenance waves that halted")     \
	X(MANAGER_FENCED, "manager_fenced_total",                              \
	  "manager writes refused because another process holds the lease")

/** Identifiers of the counters. */
enum counter_kind {
#define COUNTER_ENUM(id, metric, help) COUNTER_##id,
	COUNTER_LIST(COUNTER_ENUM)
#undef COUNTER_ENUM
	COUNTER_KIND_COUNT
};

/** All counters of a process; zero it before use. */
struct counter_set {
	uint64_t values[COUNTER_KIND_COUNT];
	uint64_t outcomes[OUTCOME_COUNT];
};

/** @brief Increments a counter. */
void counter_inc(struct counter_set *set, enum counter_kind kind);

/** @brief Increments the counter of an outcome. */
void counter_inc_outcome(struct counter_set *set, enum outcome outcome);

/** @brief Appends all counters in the Prometheus text format. */
void counter_render(const struct counter_set *set, GString *out);

/** @brief Appends one gauge in the Prometheus text format. */
void counter_render_gauge(GString *out, const char *metric, uint64_t value);

#endif
