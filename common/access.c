#include "common/access.h"

static void
token_free (gpointer data)
{
  struct GspanToken *token = data;

  g_free (token->firm);
  g_free (token->secret);
  g_free (token);
}

void
gspan_access_init (struct GspanAccess *access)
{
  access->callers = g_ptr_array_new_with_free_func (token_free);
  access->operator_token = NULL;
  access->order_token = NULL;
}

void
gspan_access_finish (struct GspanAccess *access)
{
  g_ptr_array_unref (access->callers);
  g_free (access->operator_token);
  g_free (access->order_token);
}

void
gspan_access_add_caller (struct GspanAccess *access, const char *firm, const char *secret)
{
  struct GspanToken *token = g_new0 (struct GspanToken, 1);

  token->firm = g_strdup (firm);
  token->secret = g_strdup (secret);
  g_ptr_array_add (access->callers, token);
}

bool
gspan_token_equal (struct GspanStr given, struct GspanStr secret)
{
  volatile guint8 difference = given.len != secret.len;

  for (size_t i = 0; i < secret.len; i++)
    {
      guint8 byte = i < given.len ? (guint8)given.data[i] : 0;

      difference |= byte ^ (guint8)secret.data[i];
    }
  return difference == 0;
}

/* The token of "Authorization: Bearer TOKEN"; the empty view where there is none. */
static struct GspanStr
bearer_of (const struct GspanHeaders *headers)
{
  static const char scheme[] = "Bearer ";
  struct GspanStr value = gspan_headers_get (headers, "Authorization");
  size_t len = sizeof scheme - 1;

  if (value.len <= len || g_ascii_strncasecmp (value.data, scheme, len) != 0)
    return (struct GspanStr){ NULL, 0 };
  return (struct GspanStr){ value.data + len, value.len - len };
}

bool
gspan_access_admit (const struct GspanAccess *access, const struct GspanHeaders *headers,
                    const char **firm)
{
  struct GspanStr given;

  *firm = NULL;
  if (access == NULL || access->callers->len == 0)
    return true;
  given = bearer_of (headers);
  for (guint i = 0; i < access->callers->len; i++)
    {
      const struct GspanToken *token = g_ptr_array_index (access->callers, i);

      if (gspan_token_equal (given, gspan_str_from (token->secret)))
        *firm = token->firm;
    }
  return *firm != NULL;
}

bool
gspan_access_admit_operator (const struct GspanAccess *access, const struct GspanHeaders *headers)
{
  if (access == NULL || access->operator_token == NULL)
    return true;
  return gspan_token_equal (bearer_of (headers), gspan_str_from (access->operator_token));
}

void
gspan_access_add_order_token (const struct GspanAccess *access, struct GspanHeaders *headers)
{
  char *value;

  if (access == NULL || access->order_token == NULL)
    return;
  value = g_strconcat ("Bearer ", access->order_token, NULL);
  gspan_headers_add (headers, "Authorization", gspan_str_from (value));
  g_free (value);
}
