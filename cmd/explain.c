#include <stdio.h>
#include <string.h>

#include "cmd/ctl.h"
#include "common/line.h"

/* One logged line that concerns the id that was asked for. */
struct Entry
{
  char *program; /* "NAME[PID]" */
  GPtrArray *pairs;
  guint order; /* of reading; keeps lines of one time as they were written */
};

struct Search
{
  const char *id;
  GPtrArray *entries;
  guint malformed; /* lines that could not be read */
};

static void
entry_free (gpointer data)
{
  struct Entry *entry = data;

  g_free (entry->program);
  g_ptr_array_unref (entry->pairs);
  g_free (entry);
}

static const char *
find (const struct Entry *entry, const char *key)
{
  const char *value = gspan_line_find (entry->pairs, key);

  return value != NULL ? value : "";
}

/* True for the id itself, and for the samples of a group "ATTACHMENT/GROUP". */
static bool
names_id (const struct Search *search, const char *value)
{
  size_t len = strlen (search->id);

  return strncmp (value, search->id, len) == 0
         && (value[len] == '\0' || (value[len] == '/' && strchr (search->id, '/') != NULL));
}

static bool
concerns (const struct Search *search, const GPtrArray *pairs)
{
  static const char *const keys[] = { "request", "caller_request", "sample", "group" };

  for (size_t i = 0; i < G_N_ELEMENTS (keys); i++)
    {
      const char *value = gspan_line_find (pairs, keys[i]);

      if (value != NULL && names_id (search, value))
        return true;
    }
  return false;
}

/* Takes "<6>PROGRAM[PID]: KEY=VALUE ..." apart; whatever stands before the "<" is skipped. */
static void
read_line (struct Search *search, const char *line)
{
  const char *start = strchr (line, '<');
  const char *program = start != NULL ? strchr (start, '>') : NULL;
  const char *text = program != NULL ? strstr (program, "]: ") : NULL;
  struct Entry *entry;
  GPtrArray *pairs;

  if (text == NULL)
    return;
  pairs = gspan_line_parse (gspan_str_from (text + strlen ("]: ")));
  if (pairs == NULL)
    search->malformed++;
  else if (!concerns (search, pairs))
    g_ptr_array_unref (pairs);
  else
    {
      entry = g_new0 (struct Entry, 1);
      entry->program = g_strndup (program + 1, (gsize)(text - program));
      entry->pairs = pairs;
      entry->order = search->entries->len;
      g_ptr_array_add (search->entries, entry);
    }
}

static bool
read_log (struct Search *search, const char *file)
{
  FILE *stream = fopen (file, "re");
  size_t size = 0;
  char *line = NULL;
  ssize_t len;

  if (stream == NULL)
    return false;
  while ((len = getline (&line, &size, stream)) >= 0)
    {
      if (len > 0 && line[len - 1] == '\n')
        line[len - 1] = '\0';
      read_line (search, line);
    }
  free (line);
  fclose (stream);
  return true;
}

static gint
compare_entries (gconstpointer a, gconstpointer b)
{
  const struct Entry *const *x = a;
  const struct Entry *const *y = b;
  int order = strcmp (find (*x, "time"), find (*y, "time"));

  if (order != 0)
    return order;
  return (*x)->order < (*y)->order ? -1 : 1;
}

/* The decision in words, for the events that are one. */
static char *
describe (const struct Entry *entry)
{
  const char *event = find (entry, "event");
  const char *upstream = find (entry, "upstream");

  if (strcmp (event, "route") == 0 && strcmp (upstream, "-") == 0)
    return g_strdup_printf ("attempt %s: no upstream to send it to (%s), of %s candidates",
                            find (entry, "attempt"), find (entry, "why"),
                            find (entry, "candidates"));
  if (strcmp (event, "route") == 0)
    return g_strdup_printf ("attempt %s: sent to %s because of %s, of %s candidates",
                            find (entry, "attempt"), upstream, find (entry, "why"),
                            find (entry, "candidates"));
  if (strcmp (event, "outcome") == 0)
    return g_strdup_printf ("answered \"%s\" after %s attempts in %s us", find (entry, "outcome"),
                            find (entry, "attempts"), find (entry, "elapsed_us"));
  if (strcmp (event, "place") == 0)
    return g_strdup_printf ("sent to %s because of %s", upstream, find (entry, "why"));
  if (strcmp (event, "discard") == 0)
    return g_strdup_printf ("answer of %s thrown away: %s", upstream, find (entry, "why"));
  return g_strdup (event);
}

static bool
is_shown (const char *key)
{
  static const char *const left_out[] = { "time", "module", "event", NULL };

  return !g_strv_contains (left_out, key);
}

static void
print_entry (const struct Entry *entry)
{
  char *words = describe (entry);
  GString *details = g_string_new (NULL);

  for (guint i = 0; i < entry->pairs->len; i++)
    {
      const struct GspanPair *pair = g_ptr_array_index (entry->pairs, i);
      struct GspanLine line = { details };

      if (is_shown (pair->key))
        gspan_line_str (&line, pair->key, (struct GspanStr){ pair->value->str, pair->value->len });
    }
  printf ("%s %s %s: %s\n   %s\n", find (entry, "time"), entry->program, find (entry, "module"),
          words, details->str);
  g_string_free (details, TRUE);
  g_free (words);
}

static int
print_found (struct Search *search)
{
  if (search->malformed > 0)
    fprintf (stderr, "gspanctl: %u lines could not be read and were left out\n", search->malformed);
  if (search->entries->len == 0)
    {
      fprintf (stderr, "gspanctl: %s: no line of these logs is about it\n", search->id);
      return GSPAN_EXIT_FAILURE;
    }
  g_ptr_array_sort (search->entries, compare_entries);
  for (guint i = 0; i < search->entries->len; i++)
    print_entry (g_ptr_array_index (search->entries, i));
  return GSPAN_EXIT_OK;
}

int
gspan_ctl_explain (const struct GspanCtl *ctl)
{
  struct Search search = { ctl->words[0], NULL, 0 };
  int code = GSPAN_EXIT_OK;

  if (ctl->words[0][0] == '\0')
    return gspan_ctl_usage ("the id is empty");
  search.entries = g_ptr_array_new_with_free_func (entry_free);
  for (guint i = 1; code == GSPAN_EXIT_OK && i < ctl->word_count; i++)
    {
      if (!read_log (&search, ctl->words[i]))
        code = gspan_ctl_usage ("%s can't be read", ctl->words[i]);
    }
  if (code == GSPAN_EXIT_OK)
    code = print_found (&search);
  g_ptr_array_unref (search.entries);
  return code;
}
