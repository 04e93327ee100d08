/**
 * @file owner_advice.h
 * @brief Advice on which workers may run a step, and its tickets.
 *
 * Prefix: owner_advice_. The policy of some queues allows only some workers to
 * run a step, and only the platform's advice service knows them. What it said
 * is kept with the step's group until its tickets run out.
 */
#ifndef OWNER_ADVICE_H
#define OWNER_ADVICE_H

#include <stdbool.h>
#include <stdint.h>

struct owner_advice;
struct owner;
struct jtp_group;
struct wrk_worker;

/** @brief Frees what was said. @param advice may be NULL */
void owner_advice_destroy(struct owner_advice *advice);

/**
 * @brief Returns the ticket for a worker, NULL if there is none that holds.
 */
const char *owner_advice_ticket(const struct jtp_group *group,
				const struct wrk_worker *worker);

/** @brief Forgets the ticket for a worker that has refused it. */
void owner_advice_refused(struct jtp_group *group,
			  const struct wrk_worker *worker);

/**
 * @brief Asks about workers that nothing is known of, unless a call is open.
 *
 * @param workers those that would be chosen from, the best first
 */
void owner_advice_ask(struct owner *owner, struct jtp_group *group,
		      struct wrk_worker *const *workers, uint32_t count);

#endif
