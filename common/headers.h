#pragma once

#include "common/str.h"

/* Header fields of one HTTP message, in order. Names compare without regard to case. */
struct GspanHeaders
{
  GPtrArray *items; /* "Name: value" as C strings */
};

void gspan_headers_init (struct GspanHeaders *headers);
void gspan_headers_finish (struct GspanHeaders *headers);
void gspan_headers_clear (struct GspanHeaders *headers);
void gspan_headers_add (struct GspanHeaders *headers, const char *name, struct GspanStr value);
void gspan_headers_add_u64 (struct GspanHeaders *headers, const char *name, guint64 value);

/* Adds a raw "Name: value" line as it came from the wire; a line without a colon is dropped. */
void gspan_headers_add_line (struct GspanHeaders *headers, struct GspanStr line);

/* Value of the first field called NAME; the empty view where there is none. */
struct GspanStr gspan_headers_get (const struct GspanHeaders *headers, const char *name);
bool gspan_headers_get_u64 (const struct GspanHeaders *headers, const char *name, guint64 *value);
