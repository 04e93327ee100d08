/**
 * @file owner_advice.h
 * @brief Placement advice: which workers may run a step, with their tickets.
 *
 * Prefix: owner_advice_. Some queues have a policy that allows only certain
 * workers to run a step. Only the platform's advice service knows which, and a
 * start must carry the ticket that the service issued for the worker. Answers
 * are cached per task group until their tickets expire.
 */
#ifndef OWNER_ADVICE_H
#define OWNER_ADVICE_H

#include <stdbool.h>
#include <stdint.h>

struct owner_advice;
struct owner;
struct job_group;
struct worker;

/** @brief Frees cached advice. @param advice may be NULL */
void owner_advice_destroy(struct owner_advice *advice);

/**
 * @brief Returns the ticket for a worker, NULL if there is no valid one.
 */
const char *owner_advice_ticket(const struct job_group *group,
				const struct worker *worker);

/** @brief Drops the ticket for a worker that has refused it. */
void owner_advice_ticket_drop(struct job_group *group,
			      const struct worker *worker);

/**
 * @brief Requests advice on the workers that have none cached.
 *
 * Does nothing while a request for the group is in flight or backing off.
 *
 * @param workers candidates, the best first
 */
void owner_advice_request(struct owner *owner, struct job_group *group,
			  struct worker *const *workers, uint32_t count);

#endif
