#pragma once

#include "common/headers.h"

/*
 * Tells a whole answer from one that the end of its connection cut. An answer is whole where its
 * length or its chunks say so, or its status has no body. A stream of server-sent events has to end
 * with "data: [DONE]" besides; comments may follow that.
 */
struct GspanFraming
{
  bool no_body; /* answer to a HEAD */
  GString *line;
  bool long_line;
  bool marked; /* the last event so far is the end mark */
};

/* METHOD is the request's. */
void gspan_framing_init (struct GspanFraming *framing, const char *method);
void gspan_framing_finish (struct GspanFraming *framing);

/* Takes in the next bytes of the body, in any pieces. */
void gspan_framing_data (struct GspanFraming *framing, struct GspanStr data);

/* True where an answer of STATUS and HEADERS, ended without a transport error, is whole. */
bool gspan_framing_whole (const struct GspanFraming *framing, int status,
                          const struct GspanHeaders *headers);
