#include "owner_accounts.h"

#include <string.h>

#include "log.h"
#include "urgency.h"

/* Accounts with metrics of their own; the others are summed up. */
#define OWNER_ACCOUNTS_IN_METRICS 8
/* Weight of accounts that the configuration does not list any more. */
#define OWNER_ACCOUNT_WEIGHT_REMOVED 1.0
/* Largest part of the time to retry after that is added by the identity of the
 * job, so that callers do not return together: a fourth. */
#define OWNER_RETRY_SPREAD_DIVISOR 4

/* A run on a worker that the owner has no task for. */
struct stray_run {
	struct owner_account *account;
	struct resources need;
};

struct owner_shares {
	/* struct owner_account to struct pool_share */
	GHashTable *by_account;
	double weight_sum;
};

struct pool_share {
	double weight;
	int64_t used_milli;
};

static const struct catalogue_account *
account_config(const struct owner *owner, const struct owner_account *account)
{
	return catalogue_account_find(owner->catalogue, account->name);
}

void owner_account_free(gpointer data)
{
	struct owner_account *account = data;

	g_free(account->name);
	g_free(account);
}

struct owner_account *owner_account_join(struct owner *owner, struct job *job)
{
	struct owner_account *account;

	if (!job->account)
		return NULL;
	account = g_hash_table_lookup(owner->accounts, job->account);
	if (!account) {
		account = g_new0(struct owner_account, 1);
		account->name = g_strdup(job->account);
		g_hash_table_insert(owner->accounts, account->name, account);
	}
	job->account_use = account;
	return account;
}

void owner_account_count_task(const struct job_task *task, int change)
{
	struct owner_account *account =
		task->group->occurrence->job->account_use;

	if (!account)
		return;
	resources_add(&account->used, &task->group->step->need, change);
	account->tasks += (uint32_t)change;
}

void owner_account_stray_add(struct worker *worker, const struct job_task *task)
{
	struct stray_run stray = {
		.account = task->group->occurrence->job->account_use,
		.need = task->group->step->need,
	};

	if (!stray.account)
		return;
	if (!worker->stray_uses)
		worker->stray_uses =
			g_array_new(FALSE, FALSE, sizeof(struct stray_run));
	resources_add(&stray.account->stray, &stray.need, 1);
	g_array_append_val(worker->stray_uses, stray);
}

void owner_account_strays_clear(struct worker *worker)
{
	for (guint i = 0; worker->stray_uses && i < worker->stray_uses->len;
	     i++) {
		struct stray_run *stray =
			&g_array_index(worker->stray_uses, struct stray_run, i);

		resources_add(&stray->account->stray, &stray->need, -1);
	}
	g_clear_pointer(&worker->stray_uses, g_array_unref);
}

/* Adds the tasks of an occurrence that an earlier owner may have started. */
static void unknown_tasks_add(const struct job_occurrence *occurrence)
{
	struct owner_account *account = occurrence->job->account_use;
	const GArray *steps = occurrence->job->spec->steps;

	for (guint i = 0; account && i < steps->len; i++) {
		const struct job_group *group = &occurrence->groups[i];

		for (uint32_t j = 0; j < group->step->count; j++)
			resources_add(&account->unknown, &group->step->need,
				      group->tasks[j].state ==
					      JOB_TASK_UNKNOWN);
	}
}

/* Limits an estimate to what fits on the workers that have not reported. */
static void unknown_limit(struct owner_account *account,
			  const struct resources *unreported)
{
	struct resources *unknown = &account->unknown;

	unknown->cpu_milli = MIN(unknown->cpu_milli, unreported->cpu_milli);
	unknown->memory_mb = MIN(unknown->memory_mb, unreported->memory_mb);
	unknown->accelerators =
		MIN(unknown->accelerators, unreported->accelerators);
}

/* Bounds what runs on the workers that have not reported; returns false if one
 * is known from the roster only. Such a worker may have had more capacity than
 * now when its tasks were started, at most that of the largest one. */
static bool unreported_capacity(const struct owner *owner,
				struct resources *sum)
{
	struct resources largest = { 0 };
	int unreported = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, owner->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct worker *worker = value;
		const struct resources *capacity = &worker->capacity;

		largest.cpu_milli = MAX(largest.cpu_milli, capacity->cpu_milli);
		largest.memory_mb = MAX(largest.memory_mb, capacity->memory_mb);
		largest.accelerators =
			MAX(largest.accelerators, capacity->accelerators);
		if (worker->has_reported || worker->ended)
			continue;
		if (!worker->has_entry)
			return false;
		unreported++;
	}
	resources_add(sum, &largest, unreported);
	return true;
}

void owner_accounts_pass_begin(struct owner *owner)
{
	struct resources unreported = { 0 };
	GHashTableIter iter;
	gpointer value;

	if (g_hash_table_size(owner->accounts) == 0)
		return;
	g_hash_table_iter_init(&iter, owner->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct owner_account *account = value;

		memset(&account->unknown, 0, sizeof(account->unknown));
		account->waiting_jobs = 0;
		account->was_held = account->is_held;
		account->is_held = false;
	}
	for (guint i = 0; i < owner->live_occurrences->len; i++) {
		const struct job_occurrence *occurrence =
			g_ptr_array_index(owner->live_occurrences, i);

		if (occurrence->job->account_use && !occurrence->has_begun)
			occurrence->job->account_use->waiting_jobs++;
		if (owner->has_unknown_tasks)
			unknown_tasks_add(occurrence);
	}
	if (!owner->has_unknown_tasks)
		return;
	if (!unreported_capacity(owner, &unreported))
		return;
	g_hash_table_iter_init(&iter, owner->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		unknown_limit(value, &unreported);
}

/* Size of a buffer for limit_text(). */
#define LIMIT_TEXT_BYTES 24

static const char *limit_text(int64_t limit, char out[static LIMIT_TEXT_BYTES])
{
	if (limit == 0)
		g_strlcpy(out, "any", LIMIT_TEXT_BYTES);
	else
		g_snprintf(out, LIMIT_TEXT_BYTES, "%" G_GINT64_FORMAT, limit);
	return out;
}

void owner_accounts_pass_end(struct owner *owner)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, owner->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct owner_account *account = value;
		const struct catalogue_account *config =
			account_config(owner, account);
		char cpu[LIMIT_TEXT_BYTES];
		char memory[LIMIT_TEXT_BYTES];

		if (account->is_held == account->was_held || !config)
			continue;
		account->times_held += account->is_held;
		log_info(account->is_held ? "account-held" : "account-released",
			 "account %s: milli-CPU used %" G_GINT64_FORMAT
			 " of %s, memory %" G_GINT64_FORMAT
			 " of %s MB, tasks %u, jobs waiting %u, configuration "
			 "version %" G_GUINT64_FORMAT ": its tasks %s",
			 account->name, account->used.cpu_milli,
			 limit_text(config->limit.cpu_milli, cpu),
			 account->used.memory_mb,
			 limit_text(config->limit.memory_mb, memory),
			 account->tasks, account->waiting_jobs,
			 owner->catalogue->version,
			 account->is_held ? "wait for its limit"
					  : "do not wait for its limit");
	}
}

bool owner_account_has_room(const struct owner *owner,
			    const struct owner_account *account,
			    const struct resources *need, uint32_t count)
{
	const struct catalogue_account *config = account_config(owner, account);
	struct resources used = account->used;

	resources_add(&used, &account->stray, 1);
	resources_add(&used, &account->unknown, 1);
	return !config || quota_allows(&config->limit, &used, need, count);
}

bool owner_account_allows(struct owner *owner, struct job_group *group,
			  uint32_t count)
{
	struct owner_account *account = group->occurrence->job->account_use;

	if (!account ||
	    owner_account_has_room(owner, account, &group->step->need, count))
		return true;
	group->held_by_limit = true;
	account->is_held = true;
	return false;
}

/* Returns whether a job could never run within the limit of its account. */
static bool limit_forbids(const struct catalogue_account *config,
			  const struct job *job)
{
	for (guint i = 0; i < job->spec->steps->len; i++) {
		const struct job_step *step =
			&g_array_index(job->spec->steps, struct job_step, i);

		if (step->is_gang &&
		    !quota_can_ever_allow(&config->limit, &step->need,
					  step->count))
			return true;
	}
	return false;
}

struct owner_shares *owner_shares_create(void)
{
	struct owner_shares *shares = g_new0(struct owner_shares, 1);

	shares->by_account = g_hash_table_new_full(
		g_direct_hash, g_direct_equal, NULL, g_free);
	return shares;
}

void owner_shares_destroy(struct owner_shares *shares)
{
	if (!shares)
		return;
	g_hash_table_unref(shares->by_account);
	g_free(shares);
}

void owner_shares_add(struct owner_shares *shares, const struct owner *owner,
		      const struct job *job, int64_t cpu_milli)
{
	const struct catalogue_account *config;
	struct pool_share *share;

	if (!job->account_use)
		return;
	share = g_hash_table_lookup(shares->by_account, job->account_use);
	if (!share) {
		config = account_config(owner, job->account_use);
		share = g_new0(struct pool_share, 1);
		share->weight =
			config ? config->weight : OWNER_ACCOUNT_WEIGHT_REMOVED;
		shares->weight_sum += share->weight;
		g_hash_table_insert(shares->by_account, job->account_use,
				    share);
	}
	share->used_milli += cpu_milli;
}

bool owner_shares_exceeded(const struct owner_shares *shares,
			   const struct owner *owner, const struct job *job,
			   int64_t pool_milli)
{
	const struct pool_share *share =
		job->account_use ? g_hash_table_lookup(shares->by_account,
						       job->account_use)
				 : NULL;

	const struct quota_pool pool = {
		.cpu_milli = pool_milli,
		.accounts = g_hash_table_size(shares->by_account),
		.weight_sum = shares->weight_sum,
	};

	return share &&
	       quota_exceeds_share(share->used_milli, share->weight, &pool);
}

/* Returns the duration of a job by its own estimates, as if its steps ran one
 * after the other. */
static uint64_t spec_duration_ms(const struct job_spec *spec)
{
	uint64_t sum = 0;

	for (guint i = 0; i < spec->steps->len; i++)
		sum += g_array_index(spec->steps, struct job_step, i)
			       .estimate_ms;
	return sum;
}

bool owner_account_admit(struct owner *owner, struct job *job,
			 uint32_t *retry_after_ms, const char **why)
{
	struct owner_account *account = owner_account_join(owner, job);
	const struct catalogue_queue *queue = owner_job_queue(owner, job);
	const struct catalogue_account *config =
		account ? account_config(owner, account) : NULL;
	const struct owner_backlog *backlog =
		queue ? g_hash_table_lookup(owner->backlogs, queue->service)
		      : NULL;
	struct quota_arrival arrival = { 0 };

	if (!config)
		return true;
	if (limit_forbids(config, job)) {
		*why = "a gang exceeds the account's limit";
		account->refused_jobs++;
		return false;
	}
	job->is_excess = !quota_bucket_take(&account->bucket, config->weight,
					    loop_now_ms());
	account->excess_jobs += job->is_excess;
	if (!job->is_excess || !backlog || !queue)
		return true;
	arrival.pool_milli = backlog->pool_milli;
	arrival.backlog = backlog->work;
	arrival.critical_path_ms = spec_duration_ms(job->spec);
	arrival.objective_ms =
		arrival.critical_path_ms * queue->stretch_permille / 1000 +
		queue->slo_ms;
	arrival.useful_ms = URGENCY_LATE_FACTOR * arrival.objective_ms;
	if (!quota_is_hopeless(&arrival, retry_after_ms))
		return true;
	*retry_after_ms += *retry_after_ms / OWNER_RETRY_SPREAD_DIVISOR *
			   (g_str_hash(job->id) % 1000) / 1000;
	*why = "beyond the account's rate, and the pool is full for longer "
	       "than the job is useful";
	account->refused_jobs++;
	return false;
}

static gint account_compare(gconstpointer a, gconstpointer b)
{
	const struct owner_account *left = *(struct owner_account *const *)a;
	const struct owner_account *right = *(struct owner_account *const *)b;

	if (left->used.cpu_milli == right->used.cpu_milli)
		return strcmp(left->name, right->name);
	return left->used.cpu_milli > right->used.cpu_milli ? -1 : 1;
}

static void account_metrics_append(const struct owner_account *account,
				   const char *name, GString *out)
{
	const struct {
		const char *name;
		int64_t value;
	} rows[] = {
		{ "account_cpu_milli", account->used.cpu_milli },
		{ "account_memory_mb", account->used.memory_mb },
		{ "account_tasks", account->tasks },
		{ "account_jobs_waiting", account->waiting_jobs },
		{ "account_jobs_excess_total", (int64_t)account->excess_jobs },
		{ "account_jobs_refused_total",
		  (int64_t)account->refused_jobs },
		{ "account_held_total", (int64_t)account->times_held },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		g_string_append_printf(out,
				       "sassafrascart_%s{account=\"%s\"} "
				       "%" G_GINT64_FORMAT "\n",
				       rows[i].name, name, rows[i].value);
}

void owner_accounts_metrics_append(const struct owner *owner, GString *out)
{
	g_autoptr(GPtrArray) accounts = g_ptr_array_new();
	struct owner_account rest = { 0 };
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, owner->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(accounts, value);
	g_ptr_array_sort(accounts, account_compare);
	for (guint i = 0; i < accounts->len; i++) {
		const struct owner_account *account =
			g_ptr_array_index(accounts, i);
		g_autofree char *name = g_strescape(account->name, NULL);

		if (i < OWNER_ACCOUNTS_IN_METRICS) {
			account_metrics_append(account, name, out);
			continue;
		}
		resources_add(&rest.used, &account->used, 1);
		rest.tasks += account->tasks;
		rest.waiting_jobs += account->waiting_jobs;
		rest.excess_jobs += account->excess_jobs;
		rest.refused_jobs += account->refused_jobs;
		rest.times_held += account->times_held;
	}
	if (accounts->len > OWNER_ACCOUNTS_IN_METRICS)
		account_metrics_append(&rest, "", out);
}
