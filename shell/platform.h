#pragma once

#include "board/message.h"

/* The platform's object API over HTTP: requests out of object actions, results out of answers. */

/* Fills HTTP, which is empty with its headers ready, for the platform at ADDRESS ("IP:PORT"). */
void gspan_platform_request (const struct GspanActionObject *object, const char *address,
                             struct GspanActionHttp *http);

/* True for operations that change something: their lost answers leave it unknown what happened. */
bool gspan_platform_writes (enum GspanObjectOp op);

enum GspanObjectResult gspan_platform_result (enum GspanObjectOp op,
                                              const struct GspanEventHttp *answer);
