#pragma once

#include "board/message.h"
#include "http/framing.h"

/*
 * Reads the heads of one answer line by line: provisional ones, the final one, and trailers, which
 * are dropped. Tells an answer to another request by the header line that each answer to this one
 * repeats, and one that was cut off by the status line of the next one within its head. A head
 * without a valid status belongs to no request either.
 */
struct GspanAnswerHead
{
  struct GspanHeaders headers; /* of the head that came last; none of a trailer */
  char *required; /* "Name: value" that the final head must hold; NULL checks nothing */
  char *exempt;   /* name of a header; a head that has it may lack REQUIRED; NULL is none */
  enum GspanEcho echo;
  size_t bytes;    /* of all heads and trailers */
  bool has_status; /* the status line of the head that is being read has come */
};

enum GspanHeadResult
{
  GSPAN_HEAD_OK,
  GSPAN_HEAD_FOREIGN, /* the answer belongs to another request, or is none */
  GSPAN_HEAD_TOO_LONG
};

/* REQUIRED and EXEMPT may be NULL. */
void gspan_answer_head_init (struct GspanAnswerHead *head, const char *required,
                             const char *exempt);
void gspan_answer_head_finish (struct GspanAnswerHead *head);

/* Takes in the next LINE with its end. STATUS is that of the last status line. */
enum GspanHeadResult gspan_answer_head_take (struct GspanAnswerHead *head,
                                             struct GspanFraming *framing, struct GspanStr line,
                                             int status);
