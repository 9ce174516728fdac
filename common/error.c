#include "common/error.h"

#include <stdarg.h>
#include <stdio.h>

bool
gspan_error_set (struct GspanError *error, enum GspanErrorCode code, const char *format, ...)
{
  va_list args;

  if (error == NULL)
    return false;
  error->code = code;
  va_start (args, format);
  g_vsnprintf (error->message, sizeof error->message, format, args);
  va_end (args);
  return false;
}

static void
finding_free (gpointer data)
{
  struct GspanFinding *finding = data;

  g_free (finding->file);
  g_free (finding->key);
  g_free (finding->text);
  g_free (finding);
}

void
gspan_findings_init (struct GspanFindings *findings)
{
  findings->items = g_ptr_array_new_with_free_func (finding_free);
}

void
gspan_findings_finish (struct GspanFindings *findings)
{
  g_ptr_array_unref (findings->items);
}

void
gspan_findings_add (struct GspanFindings *findings, const char *file, guint line, guint column,
                    const char *key, const char *format, ...)
{
  struct GspanFinding *finding = g_new0 (struct GspanFinding, 1);
  va_list args;

  finding->file = g_strdup (file);
  finding->line = line;
  finding->column = column;
  finding->key = g_strdup (key);
  va_start (args, format);
  finding->text = g_strdup_vprintf (format, args);
  va_end (args);
  g_ptr_array_add (findings->items, finding);
}

guint
gspan_findings_count (const struct GspanFindings *findings)
{
  return findings->items->len;
}

const struct GspanFinding *
gspan_findings_get (const struct GspanFindings *findings, guint index)
{
  return g_ptr_array_index (findings->items, index);
}

static gint
compare_places (gconstpointer a, gconstpointer b)
{
  const struct GspanFinding *const *x = a;
  const struct GspanFinding *const *y = b;

  if ((*x)->line != (*y)->line)
    return (*x)->line < (*y)->line ? -1 : 1;
  return (gint)(*x)->column - (gint)(*y)->column;
}

void
gspan_findings_sort (struct GspanFindings *findings)
{
  g_ptr_array_sort (findings->items, compare_places);
}

char *
gspan_findings_format (const struct GspanFindings *findings)
{
  GString *text = g_string_new (NULL);

  for (guint i = 0; i < findings->items->len; i++)
    {
      const struct GspanFinding *f = g_ptr_array_index (findings->items, i);

      g_string_append_printf (text, "%s:%u:%u: %s: %s\n", f->file, f->line, f->column, f->key,
                              f->text);
    }
  return g_string_free (text, FALSE);
}
