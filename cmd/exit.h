#pragma once

/* Exit codes of all programs; the last three are gspanctl's. */
enum GspanExit
{
  GSPAN_EXIT_OK = 0,
  GSPAN_EXIT_FAILURE = 1,
  GSPAN_EXIT_USAGE = 2,       /* the command line, the settings or a file are wrong */
  GSPAN_EXIT_CONFLICT = 3,    /* somebody else changed the object first; not written */
  GSPAN_EXIT_UNAVAILABLE = 4, /* the other side did not answer; nothing was done */
  GSPAN_EXIT_UNKNOWN = 5      /* the answer was lost; done or not */
};
