/* Calls between gentianspan's own processes. */

const GSPAN_MAX_NAME = 256;
const GSPAN_MAX_CURSOR = 262144;
const GSPAN_MAX_BODY = 67108864;

enum gspan_status {
  GSPAN_STATUS_OK = 0,
  GSPAN_STATUS_NOT_OWNER = 1,
  GSPAN_STATUS_NOT_READY = 2,
  GSPAN_STATUS_REFUSED = 3
};

/* A trainer asks for the batch after the one that CURSOR proves it took. */
struct gspan_pull_args {
  string attachment<GSPAN_MAX_NAME>;
  unsigned hyper weight;
  unsigned hyper fence;
  opaque cursor<GSPAN_MAX_CURSOR>;
};

/* RECORD is the version of the attachment's record that the batch was built under. */
struct gspan_pull_res {
  gspan_status status;
  unsigned hyper fence;
  unsigned hyper record;
  string detail<GSPAN_MAX_NAME>;
  opaque body<GSPAN_MAX_BODY>;
};

program GSPAN_PROGRAM {
  version GSPAN_V1 {
    gspan_pull_res GSPAN_PULL(gspan_pull_args) = 1;
  } = 1;
} = 0x20004753;
