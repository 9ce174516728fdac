#include "gateway/authorize.h"

#include "gateway/calls.h"
#include "node/node.h"
#include "platform/wire.h"

enum
{
  STATUS_UNAUTHORIZED = 401
};

static void
refuse (struct GspanNode *node, const struct GspanEventRequest *request,
        const struct GspanConfigRoute *route, enum GspanAccountVerdict verdict,
        struct GspanOutbox *outbox)
{
  struct GspanWireRequest wire;
  struct GspanLine line;
  struct GspanAction *action;

  gspan_wire_read_request (request->headers, &wire);
  gspan_metrics_add (&node->metrics, GSPAN_METRIC_ACCOUNTS_REFUSED, 1);
  gspan_line_init (&line, "account-refused");
  gspan_line_str (&line, "id", wire.attempt_id);
  gspan_line_cstr (&line, "route", route != NULL ? route->name : "");
  gspan_line_cstr (&line, "reason", gspan_account_verdict_name (verdict));
  gspan_line_u64 (&line, "config", node->catalog.config.number);
  gspan_line_u64 (&line, "store_fails", node->catalog.store_fails);
  gspan_outbox_log (outbox, "gateway", GSPAN_PRIORITY_INFO, &line);
  action = gspan_outbox_reply_error (outbox, request->request, STATUS_UNAUTHORIZED, "request",
                                     "a known API key is needed");
  gspan_headers_add (&action->u.reply.headers, "WWW-Authenticate", GSPAN_STR ("Bearer"));
}

/* Operations on jobs name no route; jobs may have been submitted without a key to one of these. */
static bool
has_anonymous_jobs (const struct GspanConfig *config)
{
  for (guint i = 0; i < config->routes->len; i++)
    {
      const struct GspanConfigRoute *route = g_ptr_array_index (config->routes, i);

      if (route->repeat == GSPAN_REPEAT_BATCH && route->allow_anonymous)
        return true;
    }
  return false;
}

bool
gspan_authorize_request (struct GspanNode *node, const struct GspanEventRequest *request,
                         const struct GspanConfigRoute *route, struct GspanAccountCheck *check,
                         struct GspanOutbox *outbox)
{
  const struct GspanConfig *config = &node->catalog.config;
  bool anonymous = route != NULL ? route->allow_anonymous : has_anonymous_jobs (config);

  gspan_accounts_check (&config->accounts, request->headers, anonymous, check);
  if (!gspan_account_verdict_is_refusal (check->verdict))
    return true;
  refuse (node, request, route, check->verdict, outbox);
  return false;
}

bool
gspan_authorize_call_again (const struct GspanNode *node, struct GspanCall *call)
{
  const struct GspanAccounts *accounts = &node->catalog.config.accounts;
  const struct GspanAccount *account;

  if (!accounts->enabled || call->state.response_started)
    return true;
  account = call->key_digest != NULL ? gspan_accounts_find (accounts, call->key_digest) : NULL;
  if (account == NULL)
    {
      g_clear_pointer (&call->account, g_free);
      return call->is_anonymous;
    }
  if (g_strcmp0 (call->account, account->name) != 0)
    {
      g_free (call->account);
      call->account = g_strdup (account->name);
    }
  return true;
}
