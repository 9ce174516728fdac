#pragma once

struct GspanJob;
struct GspanNode;

/*
 * Which node runs a job that has just been submitted. Answers the load of trainers whose steps come
 * to a large fleet, each step at another node: a node that runs one step in a while opens new
 * connections for most of its items, and nodes that run steps of one service at the same time each
 * count only their own requests at its replicas, and overfill them.
 *
 * Where the settings ask for it (jobs.dispatchers), the jobs of a service are run by a few nodes
 * that stay the same, drawn by the names of the service and of the nodes that are present, among
 * those with the most processor. The node that accepted a job tells the dispatcher, and runs the
 * job itself where that doesn't answer soon; a dispatcher that dies later is followed as any owner
 * is (jobs/owner.c). A dispatcher that the store turns away is still drawn.
 */

/* Name of the node that is to run JOB, borrowed; this node's own where it is to run it itself. */
const char *gspan_dispatcher_of (const struct GspanNode *node, const struct GspanJob *job);
