/**
 * @file job_record_private.h
 * @brief Parts that the files of the records share: fields of JSON objects, of
 * which those that are absent count as 0, false or NULL, and specifications.
 */
#ifndef JOB_RECORD_PRIVATE_H
#define JOB_RECORD_PRIVATE_H

#include <jansson.h>

#include "job_record.h"

G_DEFINE_AUTOPTR_CLEANUP_FUNC(json_t, json_decref)

static inline void text_set(json_t *object, const char *key, const char *value)
{
	if (value && *value)
		json_object_set_new(object, key, json_string(value));
}

static inline void number_set(json_t *object, const char *key, int64_t value)
{
	if (value != 0)
		json_object_set_new(object, key, json_integer(value));
}

static inline void flag_set(json_t *object, const char *key, bool value)
{
	if (value)
		json_object_set_new(object, key, json_true());
}

static inline uint32_t number_decode(const json_t *json)
{
	return (uint32_t)CLAMP(json_integer_value(json), 0,
			       (json_int_t)UINT32_MAX);
}

static inline uint32_t number_get(const json_t *object, const char *key)
{
	return number_decode(json_object_get(object, key));
}

static inline char *text_get(const json_t *object, const char *key)
{
	return g_strdup(json_string_value(json_object_get(object, key)));
}

static inline bool flag_get(const json_t *object, const char *key)
{
	return json_is_true(json_object_get(object, key));
}

/** @brief Encodes a specification as a member of a record. */
json_t *job_record_spec_to_json(const struct job_spec *spec);

/** @brief Decodes a specification and checks it as that of a submission. */
enum err_kind job_record_spec_from_json(const json_t *json,
					struct job_spec **out);

/** @brief Encodes what a queue says about running its jobs. */
json_t *job_record_queue_to_json(const struct catalogue_queue *queue);

/** @brief Decodes a queue. @return NULL if the record has no valid one */
struct catalogue_queue *job_record_queue_from_json(const json_t *json);

#endif
