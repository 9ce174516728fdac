#include "settings/secrets.h"

#include <string.h>
#include <sys/stat.h>

enum
{
  FILE_LEN_MAX = 65536 /* bytes */
};

/* Lines of FILE; NULL with a finding. */
static char **
read_lines (const char *file, struct GspanFindings *findings)
{
  struct stat info;
  char *text = NULL;
  gsize len = 0;
  char **lines;

  if (stat (file, &info) != 0 || !S_ISREG (info.st_mode) || info.st_size > FILE_LEN_MAX
      || !g_file_get_contents (file, &text, &len, NULL))
    {
      gspan_findings_add (findings, file, 0, 0, "file", "can't be read, or is over %d bytes",
                          FILE_LEN_MAX);
      return NULL;
    }
  if ((info.st_mode & S_IRWXO) != 0)
    gspan_findings_add (findings, file, 0, 0, "file", "is open to others; chmod o= it");
  if (memchr (text, '\0', len) != NULL)
    gspan_findings_add (findings, file, 0, 0, "file", "holds a NUL character");
  lines = g_strsplit (text, "\n", -1);
  g_free (text);
  return lines;
}

static bool
secret_ok (const char *text)
{
  size_t len = strlen (text);

  for (size_t i = 0; i < len; i++)
    {
      if (!g_ascii_isgraph (text[i]))
        return false;
    }
  return len >= GSPAN_TOKEN_LEN_MIN && len <= GSPAN_TOKEN_LEN_MAX;
}

static void
add_bad_secret (const char *file, guint line, struct GspanFindings *findings)
{
  gspan_findings_add (findings, file, line, 1, "token",
                      "is no token: %d to %d printable characters", GSPAN_TOKEN_LEN_MIN,
                      GSPAN_TOKEN_LEN_MAX);
}

/* Takes one "FIRM TOKEN" line. */
static void
read_caller (const char *file, guint number, const char *line, struct GspanAccess *access,
             struct GspanFindings *findings)
{
  char **parts = g_strsplit (line, " ", 2);

  if (g_strv_length (parts) != 2 || parts[0][0] == '\0')
    gspan_findings_add (findings, file, number, 1, "caller", "is no line of \"FIRM TOKEN\"");
  else if (!secret_ok (parts[1]))
    add_bad_secret (file, number, findings);
  else
    gspan_access_add_caller (access, parts[0], parts[1]);
  g_strfreev (parts);
}

static void
read_callers (const char *file, struct GspanAccess *access, struct GspanFindings *findings)
{
  char **lines = read_lines (file, findings);

  for (guint i = 0; lines != NULL && lines[i] != NULL; i++)
    {
      if (lines[i][0] != '\0' && lines[i][0] != '#')
        read_caller (file, i + 1, lines[i], access, findings);
    }
  if (lines != NULL && access->callers->len == 0)
    gspan_findings_add (findings, file, 0, 0, "caller", "there is none; nobody could call");
  g_strfreev (lines);
}

char *
gspan_secret_read (const char *file, struct GspanFindings *findings)
{
  char **lines = read_lines (file, findings);
  char *secret = NULL;

  if (lines == NULL)
    return NULL;
  if (lines[0] == NULL || !secret_ok (lines[0]) || (lines[1] != NULL && lines[1][0] != '\0'))
    add_bad_secret (file, 1, findings);
  else
    secret = g_strdup (lines[0]);
  g_strfreev (lines);
  return secret;
}

void
gspan_secrets_load (const struct GspanNodeSettings *settings, struct GspanAccess *access,
                    struct GspanFindings *findings)
{
  if (settings->callers_file[0] != '\0')
    read_callers (settings->callers_file, access, findings);
  if (settings->operator_file[0] != '\0')
    access->operator_token = gspan_secret_read (settings->operator_file, findings);
  if (settings->order_file[0] != '\0')
    access->order_token = gspan_secret_read (settings->order_file, findings);
}
