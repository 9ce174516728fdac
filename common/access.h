#pragma once

#include "common/headers.h"

/*
 * Who may call this process. A caller's token names its firm. Secrets are never logged, and are
 * compared in a time that does not depend on what was sent.
 */

enum
{
  GSPAN_TOKEN_LEN_MIN = 16, /* bytes */
  GSPAN_TOKEN_LEN_MAX = 256
};

struct GspanToken
{
  char *firm;
  char *secret;
};

struct GspanAccess
{
  GPtrArray *callers;   /* struct GspanToken; empty lets every caller in, as no firm's */
  char *operator_token; /* of operators' paths; NULL lets every operator in */
  char *order_token;    /* sent with orders to engines; NULL sends none */
};

void gspan_access_init (struct GspanAccess *access);
void gspan_access_finish (struct GspanAccess *access);

/* Takes copies. Several tokens may name one firm, so that one can be replaced without a gap. */
void gspan_access_add_caller (struct GspanAccess *access, const char *firm, const char *secret);

/* In a time that depends on SECRET alone. */
bool gspan_token_equal (struct GspanStr given, struct GspanStr secret);

/*
 * False where callers are checked and HEADERS carry no known "Authorization: Bearer TOKEN". FIRM
 * is the one that the token names, NULL where callers aren't checked. ACCESS may be NULL.
 */
bool gspan_access_admit (const struct GspanAccess *access, const struct GspanHeaders *headers,
                         const char **firm);

/* As gspan_access_admit (), for operators' paths that change something. */
bool gspan_access_admit_operator (const struct GspanAccess *access,
                                  const struct GspanHeaders *headers);

/* Adds the credential that engines may ask of an order, where there is one. ACCESS may be NULL. */
void gspan_access_add_order_token (const struct GspanAccess *access, struct GspanHeaders *headers);
