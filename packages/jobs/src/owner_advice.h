/**
 * @file owner_advice.h
 * @brief Advice on which workers may run a step, and its tickets.
 *
 * Prefix: own_advice_. The policy of some queues allows only some workers to
 * run a step, and only the platform's advice service knows them. What it said
 * is kept with the step's group until its tickets run out.
 */
#ifndef OWN_ADVICE_H
#define OWN_ADVICE_H

#include <stdbool.h>
#include <stdint.h>

struct owner_advice;
struct owner;
struct job_group;
struct worker;

/** @brief Frees what was said. @param advice may be NULL */
void owner_advice_destroy(struct owner_advice *advice);

/**
 * @brief Returns the ticket for a worker, NULL if there is none that holds.
 */
const char *own_advice_ticket(const struct job_group *group,
			      const struct worker *worker);

/** @brief Forgets the ticket for a worker that has refused it. */
void own_advice_refused(struct job_group *group, const struct worker *worker);

/**
 * @brief Asks about workers that nothing is known of, unless a call is open.
 *
 * @param workers those that would be chosen from, the best first
 */
void own_advice_ask(struct owner *owner, struct job_group *group,
		    struct worker *const *workers, uint32_t count);

#endif
