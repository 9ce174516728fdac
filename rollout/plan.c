#include "rollout/plan.h"

enum
{
  SAMPLE_DECAY = 64,     /* part by which the estimate of slow samples sinks with each faster one */
  MEAN_SMOOTHING = 32,   /* part of a new sample in the mean */
  STEP_SMOOTHING = 4,    /* part of a new step in the estimate */
  HEDGE_FACTOR = 2,      /* times the slow samples' time */
  LEAD_MIN_PERCENT = 50, /* of the mean time of a sample */
  PERCENT = 100
};

guint64
gspan_plan_window (const struct GspanFeed *feed, const struct GspanAttachment *attachment)
{
  guint64 ahead = MIN (attachment->ahead_batches, 1);

  if (attachment->fixed_ahead)
    return attachment->batch_groups * (1 + attachment->ahead_batches);
  if (attachment->staleness_bound == 0)
    return attachment->batch_groups;
  if (feed->step_us != 0 && feed->mean_us > feed->step_us
      && attachment->idle_weight > attachment->staleness_weight)
    ahead = MIN (attachment->ahead_batches, attachment->staleness_bound);
  return attachment->batch_groups * (1 + ahead);
}

void
gspan_plan_init (struct GspanPlan *plan, const struct GspanFeed *feed,
                 const struct GspanAttachment *attachment, guint64 now)
{
  guint64 margin = LEAD_MIN_PERCENT + attachment->idle_weight;
  guint64 lead = feed->mean_us * margin / PERCENT;

  plan->pulled = feed->pulls->len > 0;
  plan->window = gspan_plan_window (feed, attachment);
  if (attachment->ahead_batches == 0 && !attachment->fixed_ahead && !plan->pulled)
    plan->window = 0;
  plan->late = attachment->fixed_ahead
               || (!plan->pulled && now + lead >= feed->answered_at + feed->step_us);
}

guint64
gspan_plan_floor (const struct GspanPlan *plan, const struct GspanFeed *feed,
                  const struct GspanAttachment *attachment, guint64 index)
{
  guint64 batches = index / attachment->batch_groups;
  guint64 behind = plan->pulled ? batches : MAX (1, batches);
  guint64 due = feed->weight + behind;
  guint64 floor = due > attachment->staleness_bound ? due - attachment->staleness_bound : 0;

  if (attachment->fixed_ahead)
    return 0;
  floor = MIN (floor, feed->weight);
  if (behind == 0 || plan->late)
    return floor;
  return feed->weight;
}

bool
gspan_plan_hedges (const struct GspanPlan *plan, const struct GspanFeed *feed,
                   const struct GspanSample *sample, guint64 now)
{
  return plan->pulled && sample->state == GSPAN_SAMPLE_GENERATING && sample->hedge == 0
         && feed->sample_us != 0 && now - sample->started > HEDGE_FACTOR * feed->sample_us;
}

void
gspan_plan_note_sample (struct GspanFeed *feed, guint64 elapsed_us)
{
  if (elapsed_us >= feed->sample_us)
    feed->sample_us = elapsed_us;
  else
    feed->sample_us -= (feed->sample_us - elapsed_us) / SAMPLE_DECAY;
  if (feed->mean_us == 0)
    feed->mean_us = elapsed_us;
  feed->mean_us += elapsed_us / MEAN_SMOOTHING - feed->mean_us / MEAN_SMOOTHING;
}

void
gspan_plan_note_step (struct GspanFeed *feed, guint64 elapsed_us)
{
  if (feed->step_us == 0)
    feed->step_us = elapsed_us;
  else
    feed->step_us += elapsed_us / STEP_SMOOTHING - feed->step_us / STEP_SMOOTHING;
}
