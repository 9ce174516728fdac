#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

/*
 * Length-counted, borrowed view of bytes. Not terminated by NUL; the owner of the bytes outlives
 * the view. Owned text is a GString, owned immutable bytes are a GBytes.
 */
struct GspanStr
{
  const char *data;
  size_t len;
};

#define GSPAN_STR(literal) ((struct GspanStr){ "" literal, sizeof (literal) - 1 })

/* View of a C string; NULL gives the empty view. */
struct GspanStr gspan_str_from (const char *text);

/* View of all of BYTES; NULL gives the empty view. */
struct GspanStr gspan_str_from_bytes (GBytes *bytes);

bool gspan_str_equal (struct GspanStr a, struct GspanStr b);
bool gspan_str_has_prefix (struct GspanStr text, struct GspanStr prefix);

/* Copy as a C string, to be released with g_free (). */
char *gspan_str_dup (struct GspanStr text);

/* Parses a decimal number that fills TEXT. False on anything else or above the 64-bit range. */
bool gspan_str_to_u64 (struct GspanStr text, guint64 *value);
