#pragma once

#include <glib.h>
#include <stdbool.h>

struct GspanNode;

/*
 * Software versions of the replicas of each service that are registered, or were lately. While a
 * service has had several lately, a stream of it may have begun at any of them.
 */

#define GSPAN_VERSIONS_LATELY_US (120 * G_USEC_PER_SEC) /* far longer than a stream lasts */

struct GspanVersions
{
  GHashTable *seen; /* "SERVICE\nSOFTWARE" to the time at which it was last named */
  bool has_new;     /* one was noted that its service hadn't lately; cleared by who heeds it */
};

void gspan_versions_init (struct GspanVersions *versions);
void gspan_versions_finish (struct GspanVersions *versions);

/* Notes that a replica of SERVICE with the version SOFTWARE is registered, or was until now. */
void gspan_versions_note (struct GspanNode *node, const char *service, const char *software);

/* Notes a version that served at an unknown time; it counts from now on, unless it is known. */
void gspan_versions_note_earlier (struct GspanNode *node, const char *service,
                                  const char *software);

/* True if SERVICE has had replicas of several versions lately. */
bool gspan_versions_is_mixed (const struct GspanNode *node, const char *service);

/* True if SERVICE has had replicas of the version SOFTWARE lately. */
bool gspan_versions_has_lately (const struct GspanNode *node, const char *service,
                                const char *software);

/* Versions that SERVICE has had lately, as a set of strings; the caller owns it. */
GHashTable *gspan_versions_lately (const struct GspanNode *node, const char *service);
