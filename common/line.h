#pragma once

#include "common/str.h"

/*
 * One log event as key=value pairs. Values with blanks, quotes, "=" or control bytes are put in
 * double quotes and escaped, so that a line always splits back into its pairs.
 */
struct GspanLine
{
  GString *text;
};

void gspan_line_init (struct GspanLine *line, const char *event);
void gspan_line_finish (struct GspanLine *line);
void gspan_line_str (struct GspanLine *line, const char *key, struct GspanStr value);
void gspan_line_cstr (struct GspanLine *line, const char *key, const char *value);
void gspan_line_int (struct GspanLine *line, const char *key, gint64 value);
void gspan_line_u64 (struct GspanLine *line, const char *key, guint64 value);

/* The text so far; the line gives up its ownership. Released with g_free (). */
char *gspan_line_steal (struct GspanLine *line);

/* One pair of a line. VALUE is as it was before it was escaped. */
struct GspanPair
{
  char *key;
  GString *value;
};

/*
 * Splits a line's text back into its pairs, in order; released with g_ptr_array_unref (). NULL
 * where TEXT is no such line: a pair without a key or "=", an unknown escape, or quotes that stay
 * open.
 */
GPtrArray *gspan_line_parse (struct GspanStr text);

/* Value of the first pair called KEY; NULL where there is none. */
const char *gspan_line_find (const GPtrArray *pairs, const char *key);
