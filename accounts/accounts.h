#pragma once

#include "common/headers.h"

/*
 * Client accounts and their API keys, as the configuration names them. Keys are kept as digests
 * only: a key is found by hashing what a caller sent, so neither the time that this takes nor a
 * dump of this memory tells a key.
 */

struct GspanAccount
{
  char *name;
  bool has_priority; /* PRIORITY goes before that of a route */
  guint priority;    /* 0 is the most urgent */
};

struct GspanAccounts
{
  bool enabled;          /* callers need a key */
  GPtrArray *items;      /* struct GspanAccount, in the configuration's order */
  GHashTable *by_digest; /* digest of a key to its account, borrowed from ITEMS */
  guint keys_ignored;    /* invalid ones, and those that an earlier account holds */
};

enum GspanAccountVerdict
{
  GSPAN_ACCOUNT_NOT_NEEDED, /* no accounts are configured */
  GSPAN_ACCOUNT_KNOWN,      /* the key of an account */
  GSPAN_ACCOUNT_ANONYMOUS,  /* no known key, where none is needed */
  GSPAN_ACCOUNT_NO_KEY,     /* refused */
  GSPAN_ACCOUNT_MALFORMED,  /* refused: several keys, another scheme, or no valid token */
  GSPAN_ACCOUNT_UNKNOWN_KEY /* refused */
};

struct GspanAccountCheck
{
  enum GspanAccountVerdict verdict;
  const struct GspanAccount *account; /* KNOWN: borrowed from the accounts */
  char *digest;                       /* of the key that was sent; NULL is none */
};

void gspan_accounts_init (struct GspanAccounts *accounts);
void gspan_accounts_finish (struct GspanAccounts *accounts);
struct GspanAccount *gspan_accounts_add (struct GspanAccounts *accounts, const char *name);

/*
 * Gives KEY to ACCOUNT. False, and counted as ignored, where the key is empty, has control bytes or
 * spaces, is longer than 4 KiB or is held by another account.
 */
bool gspan_accounts_add_key (struct GspanAccounts *accounts, struct GspanAccount *account,
                             const char *key);

/* The account whose key has DIGEST; NULL where there is none. */
const struct GspanAccount *gspan_accounts_find (const struct GspanAccounts *accounts,
                                                const char *digest);

/*
 * Decides on a request with HEADERS, on a route that lets callers without a key in where
 * ALLOW_ANONYMOUS. CHECK is released with gspan_account_check_finish ().
 */
void gspan_accounts_check (const struct GspanAccounts *accounts, const struct GspanHeaders *headers,
                           bool allow_anonymous, struct GspanAccountCheck *check);
void gspan_account_check_finish (struct GspanAccountCheck *check);

bool gspan_account_verdict_is_refusal (enum GspanAccountVerdict verdict);
const char *gspan_account_verdict_name (enum GspanAccountVerdict verdict);
