#pragma once

#include "gateway/calls.h"

struct GspanOutbox;

/*
 * A stream that its caller takes up again goes on at the software version that began it. If that
 * isn't known here, the other nodes are asked first, even where only one version is known: a node
 * that was suspended hasn't heard of another one yet. Then the store is: all nodes may have died
 * meanwhile.
 */

/*
 * True where CALL, which takes a stream up, may be sent now, with its version set where it has to
 * be one. False while answers are waited for, and where CALL was refused and is freed.
 */
bool gspan_resume_prepare (struct GspanNode *node, struct GspanCall *call,
                           struct GspanOutbox *outbox);
