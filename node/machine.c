#include "node/machine.h"

#define MB ((gsize)1 << 20)

enum
{
  REQUESTS_PART = 5,
  SMALL_ROOM_MB = 8, /* beside one large body (http/budget.h) */
  HEADS_ROOM_MB = 1,
  OUTPUTS_PART = 8,
  OUTPUTS_MAX_MB = 32,
  COLLECTED_PART = 8,
  PLATFORM_PART = 5,
  COLLECTED_MAX_MB = 32,
  HELD_PART = 16,
  HELD_MAX_MB = 16,
  VALUES_PART = 8,
  VALUE_BYTES = 320,           /* of an empty JSON object, the largest for its text */
  CONNECTIONS_PART = 4,        /* admits the default of limits.connections at that of memory_mb */
  CONNECTION_BYTES = 32 << 10, /* for a head that is read (http/server.c) */
  OWN_DESCRIPTORS = 50,
  CALLERS_DIVISOR = 3, /* part, as each may need one to a replica */
  OTHER_DIVISOR = 16,  /* part */
  KEPT_DIVISOR = 8,    /* part */
  KEPT_MAX = 512,
  RELAY_MAX = 512,
  SERVICE_MAX = 64
};

static void
divide_memory (struct GspanMachine *machine, gsize memory, gsize body_max)
{
  gsize one_body = body_max + MIN (body_max, SMALL_ROOM_MB * MB) + HEADS_ROOM_MB * MB;

  machine->request_bytes = MAX (one_body, memory / REQUESTS_PART);
  machine->output_bytes = MIN (OUTPUTS_MAX_MB * MB, memory / OUTPUTS_PART);
  machine->collected_bytes = MIN (COLLECTED_MAX_MB * MB, memory / COLLECTED_PART);
  machine->platform_bytes = MIN (COLLECTED_MAX_MB * MB, memory / PLATFORM_PART);
  machine->held_bytes = MIN (HELD_MAX_MB * MB, memory / HELD_PART);
  machine->job_values = memory / VALUES_PART / VALUE_BYTES;
}

static void
divide_descriptors (struct GspanMachine *machine, guint descriptors)
{
  guint free = descriptors > OWN_DESCRIPTORS ? descriptors - OWN_DESCRIPTORS : 1;

  machine->callers = MIN (machine->callers, MAX (1, free / CALLERS_DIVISOR));
  machine->relay = MIN (machine->relay, MAX (1, descriptors / OTHER_DIVISOR));
  machine->service = MIN (machine->service, MAX (1, descriptors / OTHER_DIVISOR));
  machine->kept = MIN (machine->kept, MAX (1, descriptors / KEPT_DIVISOR));
}

void
gspan_machine_divide (struct GspanMachine *machine, guint64 memory_mb, guint descriptors,
                      gsize body_max, guint callers_max)
{
  gsize memory = (gsize)memory_mb * MB;

  divide_memory (machine, memory, body_max);
  machine->callers = (guint)MIN (callers_max, memory / CONNECTIONS_PART / CONNECTION_BYTES);
  machine->relay = RELAY_MAX;
  machine->service = SERVICE_MAX;
  machine->kept = KEPT_MAX;
  if (descriptors > 0)
    divide_descriptors (machine, descriptors);
}
