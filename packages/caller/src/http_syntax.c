#include "http_syntax.h"

#include <glib.h>
#include <string.h>

bool http_syntax_is_token(const char *bytes, size_t len)
{
	for (size_t i = 0; i < len; i++) {
		if (!g_ascii_isalnum(bytes[i]) &&
		    (bytes[i] == '\0' || !strchr("!#$%&'*+-.^_`|~", bytes[i])))
			return false;
	}
	return len > 0;
}

bool http_syntax_is_target(const char *bytes, size_t len)
{
	for (size_t i = 0; i < len; i++) {
		if ((unsigned char)bytes[i] <= ' ' || bytes[i] == 0x7f)
			return false;
	}
	return len > 0 && (bytes[0] == '/' || bytes[0] == '*');
}

bool http_syntax_is_value(const char *bytes, size_t len)
{
	for (size_t i = 0; i < len; i++) {
		if (bytes[i] == '\r' || bytes[i] == '\n' || bytes[i] == '\0')
			return false;
	}
	return true;
}
