#pragma once

#include <jansson.h>

#include "common/error.h"
#include "common/str.h"

/* Objects of the platform's API, for commands that may block. Paths are "KIND/NAME". */

struct GspanObject
{
  guint64 version; /* 0 where there is no such object */
  json_t *value;   /* NULL where there is no such object */
  bool known;      /* the fields above are what an answer said */
  bool read_back;  /* a write's answer was lost, and a read showed the write in force */
};

/* Releases the value; a zeroed OBJECT is fine. */
void gspan_object_finish (struct GspanObject *object);

/* False with ERROR UNAVAILABLE where the platform gave no answer. A missing object is no error. */
bool gspan_object_read (const char *platform, const char *path, struct GspanObject *object,
                        struct GspanError *error);

/*
 * Writes VALUE, or deletes where it is NULL, over version EXPECT and no other. Refusals and lost
 * answers are tried again: the condition lets at most one try take effect. True where VALUE is in
 * force under STORED's version. Otherwise ERROR is
 *   CONFLICT     not written; STORED is what is there,
 *   UNAVAILABLE  not written, the platform takes no call,
 *   INPUT        not written, the platform refuses the value,
 *   UNKNOWN      an answer was lost and reading back did not settle it.
 */
bool gspan_object_write (const char *platform, const char *path, guint64 expect, json_t *value,
                         struct GspanObject *stored, struct GspanError *error);

/* Objects of KINDS ("a,b") as the platform's JSON array; NULL with ERROR set. */
json_t *gspan_object_list (const char *platform, const char *kinds, guint64 *revision,
                           struct GspanError *error);

/*
 * Waits up to WAIT_MS for changes of KINDS after *REVISION and moves it on. NULL with ERROR set;
 * CONFLICT says that the platform can't go on from that revision and a list is needed.
 */
json_t *gspan_object_watch (const char *platform, const char *kinds, guint64 *revision,
                            guint wait_ms, struct GspanError *error);
