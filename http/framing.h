#pragma once

#include "board/message.h"

/*
 * Tells a whole answer from one that the end of its connection cut. By HTTP's rules an answer is
 * whole where its head has ended and its length, its chunks or, with neither, the end of the
 * connection say so, or its status has no body. The stricter rule of this project's own upstreams
 * wants a length or chunks, and a stream of server-sent events has to end with "data: [DONE]"
 * besides; comments may follow that.
 */
struct GspanFraming
{
  bool no_body;    /* answer to a HEAD */
  bool head_ended; /* of the final answer, not of a provisional one */
  enum GspanBodyFraming body;
  bool ambiguous;         /* lengths that differ or can't be read, or a coding but for chunks */
  guint64 declared_bytes; /* LENGTH only */
  guint64 body_bytes;     /* received */
  GString *line;
  bool long_line;
  bool marked; /* the last event so far is the end mark */
};

/* METHOD is the request's. */
void gspan_framing_init (struct GspanFraming *framing, const char *method);
void gspan_framing_finish (struct GspanFraming *framing);

/* A status line has come: of the answer, or of the one after a provisional answer. */
void gspan_framing_begin_head (struct GspanFraming *framing);

/* The empty line after the head of STATUS and HEADERS has come. */
void gspan_framing_end_head (struct GspanFraming *framing, int status,
                             const struct GspanHeaders *headers);

/* Takes in the next bytes of the body, in any pieces. */
void gspan_framing_data (struct GspanFraming *framing, struct GspanStr data);

/* True where an answer that ended without a transport error is whole by HTTP's rules. */
bool gspan_framing_whole_by_http (const struct GspanFraming *framing);

/* The same by the stricter rule, for an answer of STATUS and HEADERS. */
bool gspan_framing_whole (const struct GspanFraming *framing, int status,
                          const struct GspanHeaders *headers);
