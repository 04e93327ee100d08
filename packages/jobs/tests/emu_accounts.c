#include <string.h>

#include "emu_private.h"

/* Time after a change of a configuration in which an earlier one may still be
 * in force, as the platform allows. */
#define EMU_CONFIG_APPLY_MS 3000

void emu_accounts_decode(struct catalogue *catalogue, const char *text)
{
	double weight;
	long long limit;
	int read;

	for (; sscanf(text, " %lf:%lld%n", &weight, &limit, &read) == 2;
	     text += read) {
		struct catalogue_account account = {
			.name = g_strdup_printf("account-%u",
						catalogue->accounts->len + 1),
			.weight = weight,
			.limit.cpu_milli = limit,
		};

		g_array_append_val(catalogue->accounts, account);
		catalogue->has_accounts = true;
	}
}

void emu_config_write(struct emu *emu)
{
	g_autoptr(GString) text = g_string_new(NULL);

	g_string_printf(text, "%u %u %u", ++emu->config_version,
			emu->config.pools, emu->config.attempts);
	if (emu->config.unguarded)
		g_string_append(text, " unguarded");
	for (uint32_t i = 0; i < emu->config.pools; i++) {
		if (emu->dropped_pools >> i & 1)
			g_string_append_printf(text, " -%u", i);
	}
	for (uint32_t i = 0; i < emu->config.accounts; i++)
		g_string_append_printf(text, " %f:%" G_GINT64_FORMAT,
				       emu->accounts[i].config.weight,
				       emu->accounts[i].config.cpu_limit_milli);
	emu_store_put(emu, "config", text->str, 0);
}

/* Writes the configuration and lets all processes read it. */
static void config_publish(struct emu *emu)
{
	struct catalogue *catalogue;

	emu_config_write(emu);
	catalogue = emu_config_decode(emu_store_get(emu, "config"), 0);
	for (uint32_t i = 0; i < emu->config.nodes; i++) {
		if (emu->nodes[i].alive)
			jobs_set_catalogue(emu->nodes[i].service, catalogue);
	}
	catalogue_unref(catalogue);
}

void emu_queue_drop(struct emu *emu, uint32_t pool)
{
	emu->dropped_pools |= 1ULL << pool;
	config_publish(emu);
}

/* Returns the higher of two limits, of which 0 is none. */
static int64_t limit_max(int64_t a, int64_t b)
{
	return a == 0 || b == 0 ? 0 : MAX(a, b);
}

void emu_account_set(struct emu *emu, uint32_t account,
		     struct emu_account_config config)
{
	struct emu_account *changed = &emu->accounts[account - 1];

	if (loop_now_ms() - changed->changed_ms >= EMU_CONFIG_APPLY_MS)
		changed->cpu_limit_before_milli = 1;
	changed->cpu_limit_before_milli =
		limit_max(changed->cpu_limit_before_milli,
			  changed->config.cpu_limit_milli);
	changed->changed_ms = loop_now_ms();
	changed->config = config;
	config_publish(emu);
}

static uint32_t job_account(const struct emu *emu, uint32_t job)
{
	const struct emu_job_state *state = g_ptr_array_index(emu->jobs, job);

	return state->job.account;
}

void emu_account_check(struct emu *emu, uint32_t job,
		       const struct job_step *step)
{
	uint32_t account = job_account(emu, job);
	const struct emu_account *limits;
	int64_t used_milli = 0;
	int64_t limit_milli;

	if (account == 0)
		return;
	limits = &emu->accounts[account - 1];
	for (uint32_t i = 0; i < emu->vm_count; i++) {
		const struct emu_vm *vm = &emu->vms[i];

		for (guint j = 0; vm->up && j < vm->runs->len; j++) {
			const struct emu_task_run *run = &g_array_index(
				vm->runs, struct emu_task_run, j);
			const struct emu_job_state *state =
				g_ptr_array_index(emu->jobs, run->job);

			if (state->job.account == account)
				used_milli += state->job.cpu_milli;
		}
	}
	limit_milli = limits->config.cpu_limit_milli;
	if (limits->changed_ms != 0 &&
	    loop_now_ms() - limits->changed_ms < EMU_CONFIG_APPLY_MS)
		limit_milli =
			limit_max(limit_milli, limits->cpu_limit_before_milli);
	if (limit_milli > 0 && used_milli > limit_milli)
		emu_fail(emu, EMU_RULE_QUOTA,
			 "account-%u uses %" G_GINT64_FORMAT
			 " of %" G_GINT64_FORMAT " milli-CPU and starts more",
			 account, used_milli, limit_milli);
}

void emu_account_stats(const struct emu *emu, uint32_t account,
		       struct emu_stats *out)
{
	memset(out, 0, sizeof(*out));
	for (guint i = 0; i < emu->jobs->len; i++) {
		const struct emu_job_state *state =
			g_ptr_array_index(emu->jobs, i);

		if (state->job.account != account)
			continue;
		out->submitted++;
		out->accepted += state->accepted;
		out->refused += state->refused && !state->accepted;
		out->succeeded += state->success_seen;
		out->on_time += state->success_seen &&
				state->success_seen_ms - state->submitted_ms <=
					state->objective_ms;
	}
}
