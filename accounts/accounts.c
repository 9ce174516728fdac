#include "accounts/accounts.h"

#include <string.h>

enum
{
  KEY_LEN_MAX = 4096 /* bytes */
};

static const char header_authorization[] = "Authorization";
static const char scheme[] = "Bearer";

static void
account_free (gpointer data)
{
  struct GspanAccount *account = data;

  g_free (account->name);
  g_free (account);
}

void
gspan_accounts_init (struct GspanAccounts *accounts)
{
  *accounts = (struct GspanAccounts){ 0 };
  accounts->items = g_ptr_array_new_with_free_func (account_free);
  accounts->by_digest = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

void
gspan_accounts_finish (struct GspanAccounts *accounts)
{
  g_hash_table_unref (accounts->by_digest);
  g_ptr_array_unref (accounts->items);
}

struct GspanAccount *
gspan_accounts_add (struct GspanAccounts *accounts, const char *name)
{
  struct GspanAccount *account = g_new0 (struct GspanAccount, 1);

  account->name = g_strdup (name);
  g_ptr_array_add (accounts->items, account);
  return account;
}

static char *
digest_of (struct GspanStr key)
{
  return g_compute_checksum_for_data (G_CHECKSUM_SHA256, (const guchar *)key.data, key.len);
}

static bool
is_key (struct GspanStr text)
{
  for (size_t i = 0; i < text.len; i++)
    {
      if (!g_ascii_isgraph (text.data[i]))
        return false;
    }
  return text.len > 0 && text.len <= KEY_LEN_MAX;
}

bool
gspan_accounts_add_key (struct GspanAccounts *accounts, struct GspanAccount *account,
                        const char *key)
{
  struct GspanStr text = gspan_str_from (key);
  const struct GspanAccount *holder;
  char *digest = is_key (text) ? digest_of (text) : NULL;

  holder = digest != NULL ? gspan_accounts_find (accounts, digest) : NULL;
  if (digest == NULL || (holder != NULL && holder != account))
    {
      g_free (digest);
      accounts->keys_ignored++;
      return false;
    }
  g_hash_table_replace (accounts->by_digest, digest, account);
  return true;
}

const struct GspanAccount *
gspan_accounts_find (const struct GspanAccounts *accounts, const char *digest)
{
  return g_hash_table_lookup (accounts->by_digest, digest);
}

static bool
is_authorization (const char *line)
{
  size_t len = strlen (header_authorization);

  return g_ascii_strncasecmp (line, header_authorization, len) == 0 && line[len] == ':';
}

static guint
count_authorizations (const struct GspanHeaders *headers)
{
  guint count = 0;

  for (guint i = 0; i < headers->items->len; i++)
    count += is_authorization (g_ptr_array_index (headers->items, i));
  return count;
}

/* The token of VALUE, "Bearer TOKEN"; empty where it has another scheme or no valid token. */
static struct GspanStr
token_of (struct GspanStr value)
{
  const struct GspanStr none = { NULL, 0 };
  size_t at = strlen (scheme);

  if (value.len <= at || g_ascii_strncasecmp (value.data, scheme, at) != 0 || value.data[at] != ' ')
    return none;
  while (at < value.len && value.data[at] == ' ')
    at++;
  value.data += at;
  value.len -= at;
  while (value.len > 0 && (value.data[value.len - 1] == ' ' || value.data[value.len - 1] == '\t'))
    value.len--;
  return is_key (value) ? value : none;
}

/* What HEADERS say, where a key is needed. */
static void
check_key (const struct GspanAccounts *accounts, const struct GspanHeaders *headers,
           struct GspanAccountCheck *check)
{
  guint count = count_authorizations (headers);
  struct GspanStr token = token_of (gspan_headers_get (headers, header_authorization));

  if (count == 0)
    check->verdict = GSPAN_ACCOUNT_NO_KEY;
  else if (count > 1 || token.len == 0)
    check->verdict = GSPAN_ACCOUNT_MALFORMED;
  else
    {
      check->digest = digest_of (token);
      check->account = gspan_accounts_find (accounts, check->digest);
      check->verdict = check->account != NULL ? GSPAN_ACCOUNT_KNOWN : GSPAN_ACCOUNT_UNKNOWN_KEY;
    }
}

void
gspan_accounts_check (const struct GspanAccounts *accounts, const struct GspanHeaders *headers,
                      bool allow_anonymous, struct GspanAccountCheck *check)
{
  *check = (struct GspanAccountCheck){ .verdict = GSPAN_ACCOUNT_NOT_NEEDED };
  if (!accounts->enabled)
    return;
  check_key (accounts, headers, check);
  if (allow_anonymous && gspan_account_verdict_is_refusal (check->verdict))
    check->verdict = GSPAN_ACCOUNT_ANONYMOUS;
}

void
gspan_account_check_finish (struct GspanAccountCheck *check)
{
  g_clear_pointer (&check->digest, g_free);
}

bool
gspan_account_verdict_is_refusal (enum GspanAccountVerdict verdict)
{
  return verdict >= GSPAN_ACCOUNT_NO_KEY;
}

const char *
gspan_account_verdict_name (enum GspanAccountVerdict verdict)
{
  static const char *const names[]
      = { "not-needed", "known", "anonymous", "no-key", "malformed", "unknown-key" };

  return names[verdict];
}
