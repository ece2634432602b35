/* resend_fixture: instances without a network, the links between them, their
   upstreams, and callers that send a job again at another instance.

   Each instance is an mm_owner; its jobs and its links behave as mm_jobs and
   mm_mesh do.  A test kills or freezes instances, cuts paths, loses calls and
   moves upstreams to other owners.  A job has one task, and no task may ever
   run twice at the same time.  */
#ifndef RESEND_FIXTURE_H
#define RESEND_FIXTURE_H

#include "fake_upstreams.h"

enum
{
  SIM_INSTANCES = 5,
  SIM_UPSTREAMS = 24, /* most upstreams, also those that restarted */
  SIM_JOBS = 24,
  SIM_CPU_MILLI = 4000,           /* of a task, in thousandths of a core */
  SIM_UPSTREAM_CPU_MILLI = 32000, /* eight tasks fit */
  SIM_TTL_MS = 1500 /* upstreams of a dead owner are assigned after this */
};

typedef struct sim sim;

/* Faults of the path from an instance to an upstream.  A share is the
   probability, from 0 to 1, that a call is affected.  */
typedef struct
{
  bool requests_cut;                          /* no call arrives */
  bool answers_cut;                           /* no call is answered */
  double lost_starts, lost_stops, lost_holds; /* calls that do not arrive */
  double lost_answers;                        /* calls without an answer */
  mm_time_ms late_ms; /* calls that do not arrive are carried out this long
                         after they were sent, 0: never */
  mm_time_ms late_spread_ms; /* and up to this much later, drawn for each */
  /* A call, and its answer, each take up to this long, drawn for each.  */
  mm_time_ms transit_ms;
} sim_path;

/* Faults of the path from one instance to another.  */
typedef struct
{
  bool cut;            /* messages wait until the path is back */
  mm_time_ms delay_ms; /* time that a message takes */
} sim_link_path;

/* Creates SIM_INSTANCES instances without upstreams, all linked.  */
sim *sim_create (uint32_t seed);
void sim_destroy (sim *s);
void sim_run (sim *s, mm_time_ms ms); /* advances the time */
mm_time_ms sim_now (const sim *s);
int sim_random (sim *s, int below); /* a number from 0 to @below - 1 */
fakes *sim_fakes (sim *s);

/* Lets tasks reserve at several owners, as mm_fleet does with late binding. */
void sim_bind_late (sim *s);
/* Lets a job whose task may have started end instead of being sent again, as
   one whose tasks run only once.  */
void sim_run_once (sim *s);
/* Number of offers, of all instances that run, that are open for longer than
   MM_OFFER_MS and a tick.  */
uint32_t sim_overdue_offers (const sim *s);
/* Number of reservations and offers at all instances that run, and of the
   upstreams there with capacity set aside.  */
uint32_t sim_reserved (const sim *s);

/* Adds an upstream that instance @owner owns; returns its index.  */
int sim_add_upstream (sim *s, int owner);
/* The same, on which @tasks tasks fit.  */
int sim_add_small_upstream (sim *s, int owner, int tasks);
int sim_upstreams (const sim *s); /* number of upstreams added */
/* Returns the index of its owner, -1 while the upstream has none.  */
int sim_owner_of (const sim *s, int upstream);
fake *sim_upstream (sim *s, int upstream);
/* Assigns an upstream to another instance.  Its previous owner learns of it
   @disown_after_ms later, or, if negative, when a call is refused.  */
void sim_move (sim *s, int upstream, int next, mm_time_ms disown_after_ms);
/* Gives the owner of an upstream a new fencing token, as when it may have lost
   the upstream and got it back without notice.  */
void sim_renew (sim *s, int upstream);
/* Crashes an upstream for good and adds another one in its place.  */
void sim_restart (sim *s, int upstream);

/* Cuts an instance off power: its callers and the other instances hear
   nothing more of it.  */
void sim_kill (sim *s, int instance);
bool sim_alive (const sim *s, int instance);
/* Stops an instance for a time, which its clock counts if @counted.  */
void sim_freeze (sim *s, int instance, mm_time_ms ms, bool counted);
/* The same, between two steps of the handling of its events.  Events that are
   handled after it belong to the iteration that began before it.  */
void sim_freeze_midway (sim *s, int instance, mm_time_ms ms);
/* Lets an instance begin as many iterations in which it reads nothing when it
   goes on after it was frozen, as when a signal ends its wait.  */
void sim_wake_blind (sim *s, int instance, int iterations);
/* Lets an instance read its links only each @ms.  */
void sim_read_links_every (sim *s, int instance, mm_time_ms ms);
sim_path *sim_path_to (sim *s, int instance, int upstream);
sim_link_path *sim_link_path_to (sim *s, int from, int to);

/* Closes the link that one instance has opened to another, at the first
   (@end 0) or the other instance, which loses what it has not read.  */
void sim_close_link (sim *s, int from, int to, int end);

/* Submits job @job, which runs for @run_ms, at an instance.  @owner: the
   instance that its task is dispatched to, -1: any.  */
void sim_submit (sim *s, int job, mm_time_ms run_ms, int instance, int owner);
/* Submits it at an instance that runs, or else when one does.  */
void sim_submit_anywhere (sim *s, int job, mm_time_ms run_ms);
/* Breaks the caller's connection.  The job is sent again MM_RESEND_MS later,
   at another instance.  */
void sim_break_caller (sim *s, int job);
/* Sets the instance at which a job is sent again, and the owner to which its
   task is dispatched then.  -1: any.  */
void sim_resend_at (sim *s, int job, int instance, int owner);
bool sim_job_done (const sim *s, int job);
/* Returns the instance whose answer the caller waits for, -1: none.  */
int sim_instance_of (const sim *s, int job);
/* Returns an upstream that runs the job's task, -1: none.  */
int sim_upstream_of (const sim *s, int job);
/* Number of starts of a task that ran on another upstream.  */
uint32_t sim_double_runs (const sim *s);

#endif /* RESEND_FIXTURE_H */
