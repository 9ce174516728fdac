#pragma once

#include <glib.h>

/*
 * What one process may take of its machine's memory and descriptors, in parts that are not more
 * than the machine has, together with what the process needs itself. Answers crowds that fill each
 * of them at once.
 */
struct GspanMachine
{
  gsize request_bytes;   /* heads and bodies of requests; one body of BODY_MAX always fits */
  gsize output_bytes;    /* answers that wait for slow callers, of each server */
  gsize collected_bytes; /* answers of replicas that are collected */
  gsize platform_bytes;  /* answers of the platform's store that are collected */
  gsize held_bytes;      /* of streams and items, that can't be passed on yet */
  guint64 job_values;    /* JSON values of a submitted job, while it is decoded */
  guint callers;         /* connections of callers */
  guint relay;           /* connections of other nodes */
  guint service;         /* connections of the balancer, and of readers of metrics */
  guint kept;            /* idle connections to replicas that are kept */
};

/*
 * MEMORY_MB and DESCRIPTORS are the machine's, BODY_MAX the bytes of a request body, CALLERS_MAX
 * the connections of callers that the settings allow. DESCRIPTORS may be 0 for no bound.
 */
void gspan_machine_divide (struct GspanMachine *machine, guint64 memory_mb, guint descriptors,
                           gsize body_max, guint callers_max);
