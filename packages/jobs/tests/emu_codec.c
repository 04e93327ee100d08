#include <string.h>

#include "emu_private.h"

struct catalogue_queue emu_queue(uint32_t pool, uint32_t attempts)
{
	return (struct catalogue_queue){
		.name = g_strdup_printf("queue-%u", pool),
		.host = g_strdup("jobs.example"),
		.prefix = g_strdup_printf("/queue-%u/", pool),
		.service = g_strdup_printf("pool-%u", pool),
		.attempts = attempts,
		.stretch_permille = 1600,
		.slo_ms = 600,
	};
}

struct catalogue *emu_config_decode(const char *value, size_t len)
{
	unsigned int pools = 0;
	unsigned int version = 0;
	unsigned int attempts = 0;
	uint64_t dropped = 0;
	bool enforces_capacity = true;
	unsigned int pool;
	int token;
	struct catalogue *catalogue;
	int read = 0;

	if (sscanf(value, "%u %u %u%n", &version, &pools, &attempts, &read) !=
	    3)
		return NULL;
	if (g_str_has_prefix(value + read, " unguarded")) {
		enforces_capacity = false;
		read += (int)strlen(" unguarded");
	}
	for (; sscanf(value + read, " -%u%n", &pool, &token) == 1;
	     read += token)
		dropped |= 1ULL << pool;
	catalogue = catalogue_create(version);
	for (unsigned int i = 0; i <= pools; i++) {
		if (dropped >> i & 1)
			continue;

		struct catalogue_service service = {
			.name = g_strdup_printf("pool-%u", i),
			.enforces_capacity = enforces_capacity,
			.is_spare = i == pools,
		};
		struct catalogue_queue queue = emu_queue(i, attempts);

		g_array_append_val(catalogue->services, service);
		g_array_append_val(catalogue->queues, queue);
	}
	emu_accounts_decode(catalogue, value + read);
	catalogue_index(catalogue);
	return catalogue;
}

enum err_kind emu_entry_decode(const char *key, const char *value, size_t len,
			       void (*cb)(void *data,
					  const struct adapter_entry *entry),
			       void *data)
{
	const char *labels[] = { "kind", NULL };
	unsigned int vm;
	unsigned int pool;
	unsigned int port;
	int draining;
	unsigned long long started_ms;
	long long cpu;
	char vm_name[16];
	char pool_name[16];
	struct adapter_entry entry = { .labels = labels, .ip = "10.0.0.1" };

	if (sscanf(value, "%u %u %u %d %llu %lld", &vm, &pool, &port, &draining,
		   &started_ms, &cpu) != 6)
		return ERR_MALFORMED;
	g_snprintf(vm_name, sizeof(vm_name), "vm-%u", vm);
	g_snprintf(pool_name, sizeof(pool_name), "pool-%u", pool);
	entry.id = key + strlen("workers/");
	entry.port = (uint16_t)port;
	entry.service = pool_name;
	entry.vm = vm_name;
	entry.availability_zone = "zone-1";
	entry.draining = draining != 0;
	entry.started_unix_ms = started_ms;
	entry.capacity.cpu_milli = cpu;
	entry.capacity.memory_mb = 1000000;
	cb(data, &entry);
	return ERR_NONE;
}

enum err_kind emu_wave_decode(const char *key, const char *value, size_t len,
			      void (*cb)(void *data,
					 const struct adapter_wave *wave),
			      void *data)
{
	g_auto(GStrv) words = g_strsplit(value, " ", -1);
	struct adapter_wave wave = { 0 };

	if (g_strv_length(words) < 4)
		return ERR_MALFORMED;
	wave.number = g_ascii_strtoull(words[0], NULL, 10);
	wave.duration_ms = g_ascii_strtoull(words[1], NULL, 10);
	wave.max_parallel = (uint32_t)g_ascii_strtoull(words[2], NULL, 10);
	wave.vms = (const char **)words + 3;
	cb(data, &wave);
	return ERR_NONE;
}

void emu_wave_status_encode(uint64_t number, bool succeeded, char **key,
			    char **value)
{
	*key = g_strdup_printf("wave-status/%" G_GUINT64_FORMAT, number);
	*value = g_strdup(succeeded ? "succeeded" : "running");
}

bool emu_job_number_parse(const struct emu *emu, const char *id, uint32_t *out)
{
	guint64 number = g_ascii_strtoull(id, NULL, 16);

	*out = (uint32_t)number;
	return number < emu->jobs->len;
}
