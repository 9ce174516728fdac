#pragma once

#include "common/access.h"
#include "settings/node.h"

/*
 * Reads the files of tokens that SETTINGS name into ACCESS. Every finding has its line; none shows
 * a token. Files that others than the owner and its group can read are findings too.
 */
void gspan_secrets_load (const struct GspanNodeSettings *settings, struct GspanAccess *access,
                         struct GspanFindings *findings);

/* Reads a file of one token. NULL with findings where it is none. */
char *gspan_secret_read (const char *file, struct GspanFindings *findings);
