#include <string.h>

#include "bundle_file_private.h"

/* A bundle is a mapping of lists of mappings of lists. */
#define BUNDLE_FILE_DEPTH_MAX 8

static uint32_t line_at(const char *text, size_t offset)
{
	uint32_t line = 1;

	for (size_t i = 0; i < offset; i++) {
		if (text[i] == '\n')
			line++;
	}
	return line;
}

void bundle_file_parser_error(const yaml_parser_t *parser, const char *text,
			      struct bundle_file_errors *mistakes)
{
	/* The reader of bytes gives an offset where the scanner gives a mark.
	 */
	uint32_t line = parser->error == YAML_READER_ERROR
				? line_at(text, parser->problem_offset)
				: (uint32_t)parser->problem_mark.line + 1;

	bundle_file_errors_add(
		mistakes, line, "bundle", "expected YAML in UTF-8, found: %s",
		parser->problem ? parser->problem : "unreadable text");
}

/* State of one pass over the events. */
struct pass {
	uint32_t documents;
	uint32_t depth;
};

/* Returns what is wrong with an event, or NULL. */
static const char *event_check(struct pass *pass, const yaml_event_t *event)
{
	const unsigned char *anchor = NULL;

	switch (event->type) {
	case YAML_DOCUMENT_START_EVENT:
		pass->documents++;
		return pass->documents > 1 ? "a second document" : NULL;
	case YAML_ALIAS_EVENT:
		return "an alias";
	case YAML_SCALAR_EVENT:
		anchor = event->data.scalar.anchor;
		break;
	case YAML_SEQUENCE_START_EVENT:
		anchor = event->data.sequence_start.anchor;
		pass->depth++;
		break;
	case YAML_MAPPING_START_EVENT:
		anchor = event->data.mapping_start.anchor;
		pass->depth++;
		break;
	case YAML_SEQUENCE_END_EVENT:
	case YAML_MAPPING_END_EVENT:
		pass->depth--;
		break;
	default:
		break;
	}
	if (pass->depth > BUNDLE_FILE_DEPTH_MAX)
		return "too many nested levels";
	return anchor ? "an anchor" : NULL;
}

static enum err_kind events_run(yaml_parser_t *parser, const char *text,
				struct bundle_file_errors *mistakes)
{
	struct pass pass = { 0 };
	bool ended = false;

	while (!ended) {
		const char *wrong;
		yaml_event_t event;
		uint32_t line;

		if (!yaml_parser_parse(parser, &event)) {
			bundle_file_parser_error(parser, text, mistakes);
			return ERR_MALFORMED;
		}
		wrong = event_check(&pass, &event);
		line = (uint32_t)event.start_mark.line + 1;
		ended = event.type == YAML_STREAM_END_EVENT;
		yaml_event_delete(&event);
		if (wrong) {
			bundle_file_errors_add(
				mistakes, line, "bundle",
				"expected one document without "
				"anchors, aliases and deep nesting, "
				"found %s",
				wrong);
			return ERR_MALFORMED;
		}
	}
	return ERR_NONE;
}

enum err_kind bundle_file_events_check(const char *text, size_t len,
				       struct bundle_file_errors *mistakes)
{
	const char *zero = memchr(text, '\0', len);
	yaml_parser_t parser;
	enum err_kind err;

	if (zero) {
		bundle_file_errors_add(
			mistakes, line_at(text, (size_t)(zero - text)),
			"bundle", "expected text, found a zero byte");
		return ERR_MALFORMED;
	}
	if (!yaml_parser_initialize(&parser))
		return ERR_MALFORMED;
	yaml_parser_set_encoding(&parser, YAML_UTF8_ENCODING);
	yaml_parser_set_input_string(&parser, (const unsigned char *)text, len);
	err = events_run(&parser, text, mistakes);
	yaml_parser_delete(&parser);
	return err;
}
