#include "segment.h"

struct segment {
	struct segment_table *table;
	char *key;
	/* number of records that are current */
	uint32_t record_count;
	GList link;
};

struct segment_table {
	/* of struct segment */
	GQueue used;
	/* keys of segments without current records */
	GQueue garbage;
};

struct segment_table *segment_table_create(void)
{
	struct segment_table *table = g_new0(struct segment_table, 1);

	g_queue_init(&table->used);
	g_queue_init(&table->garbage);
	return table;
}

static void segment_free(struct segment *segment)
{
	g_queue_unlink(&segment->table->used, &segment->link);
	g_free(segment->key);
	g_free(segment);
}

void segment_table_destroy(struct segment_table *table)
{
	if (!table)
		return;
	while (table->used.head)
		segment_free(table->used.head->data);
	g_queue_clear_full(&table->garbage, g_free);
	g_free(table);
}

struct segment *segment_add(struct segment_table *table, const char *key)
{
	struct segment *segment = g_new0(struct segment, 1);

	segment->table = table;
	segment->key = g_strdup(key);
	segment->link.data = segment;
	g_queue_push_tail_link(&table->used, &segment->link);
	return segment;
}

const char *segment_key(const struct segment *segment)
{
	return segment->key;
}

void segment_retire_if_empty(struct segment *segment)
{
	if (segment->record_count > 0)
		return;
	g_queue_push_tail(&segment->table->garbage,
			  g_steal_pointer(&segment->key));
	segment_free(segment);
}

void segment_detach(struct job *job, enum job_segment_kind kind)
{
	struct segment *segment = g_steal_pointer(&job->segments[kind]);

	if (!segment)
		return;
	g_assert(segment->record_count > 0);
	segment->record_count--;
	segment_retire_if_empty(segment);
}

void segment_attach(struct segment *segment, struct job *job,
		    enum job_segment_kind kind)
{
	if (job->segments[kind] == segment)
		return;
	segment->record_count++;
	segment_detach(job, kind);
	job->segments[kind] = segment;
}

uint32_t segment_garbage_count(const struct segment_table *table)
{
	return table->garbage.length;
}

char *segment_garbage_pop(struct segment_table *table)
{
	return g_queue_pop_head(&table->garbage);
}

void segment_garbage_push(struct segment_table *table, char *key)
{
	g_queue_push_head(&table->garbage, key);
}
