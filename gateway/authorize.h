#pragma once

#include "accounts/accounts.h"
#include "board/message.h"

struct GspanCall;
struct GspanConfigRoute;
struct GspanNode;

/*
 * Which account a request is of, by the configuration in force. A node that is cut off from the
 * store goes on by the configuration that it knows: it admits the keys in there, and no others.
 */

/*
 * Checks REQUEST, for an operation on ROUTE; NULL is one on a job that is named by its path.
 * Returns false after an answer of 401. CHECK is released with gspan_account_check_finish () in
 * either case.
 */
bool gspan_authorize_request (struct GspanNode *node, const struct GspanEventRequest *request,
                              const struct GspanConfigRoute *route, struct GspanAccountCheck *check,
                              struct GspanOutbox *outbox);

/*
 * True where CALL may still be sent to a replica, as no part of its answer has come: its key may
 * have been taken away, or given to another account, since it came.
 */
bool gspan_authorize_call_again (const struct GspanNode *node, struct GspanCall *call);
