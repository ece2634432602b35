/* Compile-time constants of masticmill, gathered in one place.  A value named
   MM_DEFAULT_* is the default of a TOML setting, unless its comment says that
   it is fixed.  No setting overrides the other values.  */
#ifndef MM_CONFIG_H
#define MM_CONFIG_H

/* Mechanisms of an instance; 0 switches one off.  scripts/ablate.py builds and
   measures an instance without each of them, and docs/DECISIONS.md gives the
   results.  */
#define MM_WITH_ADMISSION 1   /* refuse jobs whose answer would be too late */
#define MM_WITH_COST 1        /* estimated waits include unsuccessful runs */
#define MM_WITH_PRIORITY 1    /* admission ignores tasks of lower priority */
#define MM_WITH_PATIENCE 1    /* jobs sent again too late do not queue */
#define MM_WITH_SPREAD_ANEW 1 /* tasks that wait long try another owner */
#define MM_WITH_TRUST 1       /* circuit breaker: exclude failing upstreams */
#define MM_WITH_SPEED 1       /* prefer fast upstreams */
#define MM_WITH_TIGHT_FIT 1   /* if equally fast, prefer the tightest fit */
#define MM_WITH_NEAR_DATA 1   /* prefer upstreams near the data to fast ones */
#define MM_WITH_PROGRESS 1    /* stop tasks that make no progress */
#define MM_WITH_RTO 1         /* timeouts adapt to the measured answer times */
#define MM_WITH_LOSSY_HOLDS 1 /* shorter holds while answers get lost */
#define MM_WITH_RUN_AGAIN 1   /* run tasks in doubt again after their end */
#define MM_WITH_ADOPTION 1 /* the next owner of an upstream keeps its runs */
#define MM_WITH_STANDBY 1  /* serve data centres without instances */
#define MM_WITH_PREDECESSORS 1  /* remove previous incarnations from groups */
#define MM_WITH_SERVE_ON 1      /* a leaving instance serves until takeover */
#define MM_WITH_HANDOVER_RUNS 1 /* short tasks run during a handover */
#define MM_WITH_TELL_HANDED 1   /* notify others of released partitions */
#define MM_WITH_BOUNDED_LINKS 1 /* link to some instances, not to all */

/* Entry instance.  */
#define MM_DEFAULT_ENTRY_PORT 7100       /* HTTP port for callers */
#define MM_DEFAULT_MAX_TASKS_PER_JOB 290 /* larger jobs are refused */
/* Largest request body of an entry instance and of the stand-ins; fixed.  */
#define MM_DEFAULT_MAX_BODY_BYTES (4 << 20)
#define MM_DEFAULT_TASK_DEADLINE_MS 10000 /* for tasks without one; fixed */
#define MM_DEFAULT_RETRY_BUDGET 2         /* retries per task */
#define MM_DEFAULT_RETRY_AFTER_S 1        /* Retry-After of refused calls */
/* Timeout of a call to an upstream.  */
#define MM_DEFAULT_DISPATCH_TIMEOUT_MS 15000
#define MM_DEFAULT_DONE_TTL_MS 600000 /* answers are kept this long */
#define MM_DEFAULT_MEMBER_POLL_MS 500 /* between polls of the member list */
#define MM_DEFAULT_CONFIG_POLL_MS 200 /* between polls of the config */
#define MM_DEFAULT_HEARTBEAT_MS 500   /* between heartbeats to the platform */
/* After so many consecutive failures an upstream is ejected: it gets no tasks
   for a while.  */
#define MM_DEFAULT_EJECT_AFTER_FAILURES 5
#define MM_DEFAULT_EJECT_MS 5000  /* length of the first ejection */
#define MM_EJECT_MAX_DOUBLINGS 4u /* longest ejection: 16 times the first */
#define MM_DEFAULT_MAX_QUEUED_TASKS 20000  /* further tasks are refused */
#define MM_DEFAULT_UPSTREAM_SLOTS 8        /* for upstreams that report none */
#define MM_DEFAULT_UPSTREAM_CONNECTIONS 60 /* connections per upstream */

#define MM_PLATFORM_CONNECTIONS 32 /* to the platform: one call per shard */

/* Ownership of jobs among the entry instances.  */
#define MM_DEFAULT_SHARDS 16        /* shards of the jobs of a data centre */
#define MM_LOG_CALL_TIMEOUT_MS 1000 /* of a call to the log of a shard */
/* Attempts in a row to take a shard over; the next one waits for a tick.  */
#define MM_SHARD_TAKE_BURST 3
/* An instance that has been up for longer saw the earlier owners of shards. */
#define MM_OBSERVER_UPTIME_MS 15000
/* Timeout of the check with the log whether a shard is still owned here.
   While that is not confirmed, no answer states that a task was not run.  */
#define MM_VERIFY_TIMEOUT_MS 300
/* Once the member list is unchanged for this long, shards are moved to the
   owners that it gives.  */
#define MM_PEERS_SETTLE_MS 1000
/* After an instance loses a shard, it does not take the shard over again for
   this long.  */
#define MM_SHARD_HOLD_DOWN_MS 2000
#define MM_SHARD_TICK_MS 150 /* between retries, takeovers and pings */
/* The platform is out of contact once calls have failed for this long.  */
#define MM_CONTACT_LOST_MS 500
/* For this long after an outage, no member is removed from the list.  */
#define MM_LIST_GRACE_MS 3000
/* Without contact for this long, and with no vote from a peer, an instance
   considers itself alone.  */
#define MM_CONTACT_ALONE_MS 1500
#define MM_VOTE_VALID_MS 1000 /* age up to which the vote of a peer counts */
#define MM_PEER_PING_TIMEOUT_MS 400 /* a slower peer has no vote */
/* A peer that did not answer gets no shards for this long.  */
#define MM_PEER_SUSPECT_MS 3000
/* A job that was forwarded this often runs where it is.  */
#define MM_FORWARD_MAX_HOPS 3
#define MM_RELEASE_LIMIT_MS 1500 /* a shutdown waits this long for the log */
/* The answer of a forwarded job is awaited this long after its deadline.  */
#define MM_FORWARD_SLACK_MS 500
/* Timeout of a call that fences a job at an upstream; the answer lists the
   tasks of the job there.  */
#define MM_FENCE_TIMEOUT_MS 1000
#define MM_RECOVER_POLL_MS 100 /* between polls for tasks that still run */

/* Team quotas over a data centre.  */
#define MM_QUOTA_REPORT_MS 500        /* between reports to the peers */
#define MM_QUOTA_REPORT_TTL_MS 1500   /* a peer's report counts this long */
#define MM_QUOTA_REPORT_MAX_TEAMS 20u /* teams in one report */

/* Platform stand-in.  */
#define MM_DEFAULT_PLATFORM_PORT 7000
#define MM_DEFAULT_RETENTION_MS 600000 /* log records are kept this long */
#define MM_DEFAULT_MEMBER_TTL_MS 3000  /* without heartbeat, members expire */
#define MM_DEFAULT_MEMBER_LAG_MS 1000  /* delay of the member list */
#define MM_DEFAULT_LOG_READ_MAX 512    /* records per read; fixed */

/* Upstream stand-in.  */
#define MM_DEFAULT_UPSTREAM_PORT 7200
#define MM_DRAIN_CHECK_MS 20 /* between checks that all answers are sent */
/* Time from the start of a poison task until it crashes its upstream.  */
#define MM_DEFAULT_POISON_MS 20
#define MM_DEFAULT_BACK_MS 3000 /* a crashed upstream is back after this */

/* Sessions with upstreams (mm_exec).  */
#define MM_EXEC_TICK_MS 25 /* between ticks of sessions, queues and jobs */
/* Length of a run's lease.  A run goes on for this long after its owner dies,
   and a caller whose connection broke sends its job again after 1,300 ms;
   see MM_RUN_LIMIT_MS.  */
#define MM_LEASE_MS 1000
/* Leases are not renewed beyond this time after a run's caller was last known
   to wait for it.  The caller may send the job again MM_RESEND_MS after
   that, and the run must have ended by then, also if it cannot be stopped.
   The difference covers a slow clock of the upstream and the delay of
   messages.  */
#define MM_RUN_LIMIT_MS (MM_RESEND_MS - MM_LEASE_SLACK_MS)
/* If leases must end within this time, holds wait only MM_HOLD_WAIT_SHORT_MS:
   a lease this short would expire when one hold of MM_HOLD_WAIT_MS is lost. */
#define MM_LEASE_SHORT_MS 700
/* No task is started if its lease could not last this long.  That is more than
   two short holds with timeouts of MM_RTO_MAX_MS, so that the loss of one hold
   does not let the lease expire.  */
#define MM_LEASE_MIN_MS 350
/* The time that a hold waits for an end.  A hold fails MM_RTO_MAX_MS after
   its wait at the latest.  Twice the sum of both is less than a lease, so no
   lease expires when one hold is lost.  */
#define MM_HOLD_WAIT_MS 250
/* The wait of a hold if a call got no answer lately, or if leases must end
   soon.  When the answer of a
   hold is lost, no end is seen until that hold has failed, which is up to
   100 ms (MM_RTO_MAX_MS) after its wait.  */
#define MM_HOLD_WAIT_SHORT_MS 60
#define MM_LOSSY_PERIOD_MS 1000 /* holds stay short after a lost answer */
/* Pause between holds while some listed ends are not acknowledged yet.  During
   that time, new ends are seen up to this much later.  */
#define MM_UNACKED_POLL_MS 40
#define MM_HOLD_RETRY_MS 200 /* between holds without an answer */
/* Holds are retried at once until this many have failed in a row.  */
#define MM_HOLD_IMMEDIATE_RETRIES 3u
/* Ends are acknowledged no later than this after an answer of the upstream,
   which cannot start again and end a run meanwhile.  */
#define MM_ACK_AFTER_ANSWER_MS 3
/* Holds that are sent at once to list the latest starts, so that ends can be
   acknowledged.  */
#define MM_ACK_IMMEDIATE_RETRIES 3u
/* Delay after which ends of an idle upstream are acknowledged.  */
#define MM_ACK_DELAY_MS 300
/* Bounds of the timeout of a call to an upstream.  An answer takes about
   2 ms.  After the timeout of a start, the upstream is asked whether the task
   runs, early enough for another start to be of use to its caller.  The
   minimum allows for delays of some 20 ms.  */
#define MM_RTO_MIN_MS 30
#define MM_RTO_MAX_MS 100
/* The longest timeout after late answers.  A caller that waits for one of
   eight tasks can wait little longer than this.  */
#define MM_RTO_LATE_MAX_MS 300
#define MM_ORDER_BYTES 600u /* size of an upstream call without payload */
/* After the timeout of a call, its answer is still received for this long.  */
#define MM_LATE_ANSWER_MS 500
/* Ended runs are remembered for this long, which is more than a hold is open:
   its wait, its longest timeout and MM_LATE_ANSWER_MS.  */
#define MM_ENDED_RUNS_KEEP_MS 1500
/* Late answers of two upstreams within this time have a common cause, such as
   the link or the processor of this instance.  */
#define MM_RTO_COMMON_CAUSE_MS 1000
/* After late answers with a common cause, timeouts keep a raised minimum for
   this long, as what delays the answers recurs.  */
#define MM_RTO_FLOOR_TTL_MS 5000
/* Time added to the end of a lease as estimated for the clock of the upstream:
   2 % of a lease for a slow clock, and the rest for the error of the
   estimate.  */
#define MM_LEASE_SLACK_MS 60
/* Low bits of a fencing token: they count the restarts of an upstream under
   its name while it has the same owner.  */
#define MM_FENCE_RESTART_BITS 16
/* Of these values, late acknowledgements use no more than this many, so that
   some are left for restarts.  */
#define MM_FENCE_LATE_ACKS_MAX 32768u
/* The monotonic clock of an upstream is slow by no more than this.  */
#define MM_CLOCK_SLOW_PERCENT 2
/* The clock of an idle upstream is read this often.  Until then, the lease of
   its next run may be 2 % of this time shorter.  */
#define MM_CLOCK_REFRESH_MS 10000
/* A task reports its progress in percent, so the value changes a hundred
   times during a run.  A task is stalled when the value has not changed for
   MM_NO_PROGRESS_MS and for MM_NO_PROGRESS_STEPS hundredths of its declared
   run time.  On an upstream that is 6 times slower, the progress of a task of
   4 s still changes every 0.25 s.  */
#define MM_NO_PROGRESS_MS 500
#define MM_NO_PROGRESS_STEPS 20

/* Choice of upstreams (mm_breaker, mm_placement).  */
/* Consecutive failures that open the circuit breaker of an upstream.  One
   task in 500 fails by its own fault, so three in a row on one upstream occur
   by chance once in 125 million.  Five would cost two more tasks.  */
#define MM_BREAKER_FAILURES 3u
/* How long the circuit breaker stays open the first time.  */
#define MM_BREAKER_OPEN_MS 1000
#define MM_BREAKER_MAX_DOUBLINGS 3u /* longest time: 8 times the first */
/* Weight of one run in an upstream's slowness.  */
#define MM_SLOWNESS_GAIN 0.2
/* Weight of one task in the average task size.  */
#define MM_AVERAGE_GAIN 0.05
/* The slowness of upstreams is compared in steps of this size, as run time
   estimates are off by up to 40 %.  */
#define MM_PLACEMENT_SPEED_STEP 0.25

/* Poison tasks, which crash their upstreams (mm_suspects).  */
/* A task is given up after this many crashes if in one of them it was a
   suspect, ran alone and had just started; otherwise after one more.  After
   one more it does not run again, even if the crashes prove nothing.  */
#define MM_SUSPECTS_CRASHES 2u
/* "Right after": so short that it is unlikely to be hit by other crashes.  */
#define MM_SUSPECTS_AFTER_START_MS 100
/* A crash is part of a mass loss if at least this many upstreams without the
   task were lost at about the same time.  */
#define MM_SUSPECTS_MASS 2u
/* "About the same time": upstreams that crash for one cause do so within this
   time of each other.  */
#define MM_SUSPECTS_COINCIDE_MS 1000
/* A mass loss is over once fewer than MM_SUSPECTS_MASS other upstreams were
   lost within this time.  */
#define MM_SUSPECTS_CALM_MS 2000
/* A crash within this time after a run failed may have been caused by its
   task.  The end is acknowledged after MM_ACK_DELAY_MS, which shows whether
   the upstream is alive.  */
#define MM_SUSPECTS_AFTER_END_MS 400
#define MM_SUSPECTS_MAX 512u       /* lost upstreams recorded at a time */
#define MM_SUSPECTS_TASKS_MAX 64u  /* tasks remembered for each of them */
#define MM_SUSPECTS_KEEP_MS 600000 /* a crash counts this long */
/* A lost upstream whose fate is not known is remembered for this long.
   Whether it crashed is known once it is back.  */
#define MM_SUSPECTS_OPEN_KEEP_MS 15000

/* The queue of an owner (mm_owner).  */
/* A pass through the queue ends after so many tasks that do not fit.  */
#define MM_OWNER_MAX_MISSES 16u
/* The cost of a task is the average cost of a run, divided by the share of
   runs that are done.  A share below this value says nothing about the cost,
   and this value is used instead.  */
#define MM_MIN_DONE_SHARE 0.2
#define MM_PRIORITY_LEVELS 4u /* distinguished in capacity reports */

/* Late binding (mm_reservation).  */
#define MM_DEFAULT_RESERVATIONS 4 /* owners that a task reserves at */
#define MM_RESERVATIONS_MAX 16    /* an instance has 16 chosen links */
/* An offer that is not accepted for this long is withdrawn.  It covers a round
   trip between data centres and a tick of the home.  */
#define MM_OFFER_MS 40
/* After this time without an offer, the owners are chosen again.  */
#define MM_RESERVATION_MS 100
/* A task reserves in another data centre if it is expected to start sooner
   there by this time.  That covers the round trip of the offer, for which the
   capacity is idle.  */
#define MM_RESERVATION_FAR_MS 10

/* Overload control (mm_overload).  */
/* Queueing delay above which a priority is overloaded.  */
#define MM_DEFAULT_OVERLOAD_TARGET_MS 50
#define MM_OVERLOAD_WINDOW_MS                                                 \
  500 /* delays and starts are measured over this */
/* Parts in which the window is counted.  */
#define MM_OVERLOAD_BUCKETS 20
/* Fewer starts in a window may be those of two or three jobs, which says
   nothing on the capacity of their queue.  */
#define MM_OVERLOAD_MIN_STARTS 20u
/* While capacity is short, a job counts as at least so many times the mean
   number of tasks of the jobs of its priority.  If each counted as its own
   tasks, the small ones would take what is left whenever the queue is just
   short of the limit: of jobs of 2 to 6 tasks at twice the capacity, 0.88 of
   the smallest and 0.30 of the largest were accepted (simulated).  The factor
   covers sizes of 40 % above the mean.  */
#define MM_OVERLOAD_JOB_FACTOR 1.5
#define MM_OVERLOAD_JOB_GAIN 0.02 /* weight of one job in that mean */
/* Expected wait while no capacity is expected: longer than any limit.  */
#define MM_NO_CAPACITY_WAIT_MS 3600000
/* No capacity is expected if nothing was started for this many mean run
   times.  */
#define MM_NO_START_FACTOR 2
/* Reports of peers that are older do not count.  */
#define MM_OVERLOAD_REPORT_TTL_MS 600
#define MM_RETRY_AFTER_MAX_S 10 /* of the expected end of an overload */
/* A job that is not late yet is rejected only for an expected wait of at least
   this.  Shorter waits come and go when there is no overload.  */
#define MM_SHEDDING_WAIT_MS 50
/* One of so many starts is of the first yielding task, so that none waits for
   ever.  */
#define MM_YIELDING_START_EVERY 8u

/* Load shedding (mm_jobs_shedding).  */
/* A task that was dispatched and not returned for this long has probably
   started.  It covers the wait at the owner, a tick of the owner and a round
   trip between data centres, 10 + 25 + 40 ms, with a reserve of a tick.  */
#define MM_SHEDDING_DEFER_MS 100

/* Links between instances (mm_link, mm_mesh).  */
/* A link with more unread or unsent bytes than this is closed.  */
#define MM_LINK_MAX_BYTES (8u << 20)
/* Longest pause between the messages of each side of a link.  */
#define MM_MESH_HEARTBEAT_MS 150
/* A link without a message for this long is closed, and runs here for the
   tasks of that peer are stopped.  That is well before the callers of these
   tasks send their jobs again, 1,300 ms after their connections broke.  */
#define MM_MESH_TIMEOUT_MS 600
#define MM_MESH_RECONNECT_MS 250 /* between attempts to connect */
/* Shortest pause between capacity reports over one link, when the capacity
   changes.  */
#define MM_MESH_REPORT_MS 25
/* An instance that gains an upstream reports that after this pause, in which
   it may gain others.  Until then, its peers refuse jobs for want of
   capacity.  */
#define MM_MESH_GAINED_MS 2
/* Changed kinds of upstreams are sent at most this often, except for those
   that an instance gains.  */
#define MM_MESH_KINDS_MS 100
/* Approximate rate of capacity reports over all links together.  Of all costs
   that grow with the number of links, writing reports is the largest.  */
#define MM_MESH_REPORTS_PER_S 240
/* Links that an instance opens.  They are enough to find free capacity,
   however many instances there are.  */
#define MM_NEIGHBOURS_NEAR 10u    /* in its own data centre */
#define MM_NEIGHBOURS_FAR 6u      /* in all other data centres together */
#define MM_NEIGHBOURS_FAR_EACH 2u /* in any one other data centre */
/* For this long after a link is lost, its instance is tried after all others.
   Most restarts take less.  */
#define MM_NEIGHBOUR_LOST_MS 2000
/* A new instance is assumed to be listed for this long after it became known:
   it is in the list only after it has joined and the list was read.  So is a
   linked one that a list lacks: it may be about to join again.  */
#define MM_NEIGHBOUR_NEW_MS 5000
/* A link is kept for this long after it was last needed.  */
#define MM_MESH_LINK_KEEP_MS 10000
/* An instance that is neither listed nor connected is remembered for this
   long, which covers the time until a standby takes over.  */
#define MM_MESH_UNLISTED_KEEP_MS (2 * MM_STANDBY_ABSENT_MS)
/* The neighbours are chosen again at least this often.  */
#define MM_NEIGHBOURS_CHECK_MS 500

/* The smallest delay of a peer's messages in this time, and in as much time
   before it, is taken for the delay without queues.  */
#define MM_QUEUE_DELAY_WINDOW_MS 30000

/* Jobs and admission (mm_jobs, mm_admission, mm_fleet).  */
/* Starts of a task that upstreams may reject, for no reason of their health or
   capacity, before its job is given up.  A kept job is not given up: each
   further start comes after a pause, which doubles.  */
#define MM_REJECTED_STARTS 3u
#define MM_REJECTED_PAUSE_MS 500
#define MM_REJECTED_MAX_DOUBLINGS 4u
#define MM_MAX_JOB_TASKS 1024u /* tasks in a job; 290 are required */
/* Time from caller to instance to upstream and back, with the handling of
   calls.  */
#define MM_OVERHEAD_MS 15
/* Expected wait while no upstream has an owner in contact: a handover of which
   other instances are not notified takes at most this long.  After the death
   of an owner it is 1.5 s, which few jobs can wait.  */
#define MM_NO_OWNER_WAIT_MS 500
/* Retry-After of a refused job when no estimate of the wait is known.  */
#define MM_RETRY_AFTER_NO_CAPACITY_S 1
/* Answers are of use up to 3 times the objective of their queue.  */
#define MM_LATE_FACTOR 3.0
/* Callers send a job again this long after their connection broke.  */
#define MM_RESEND_MS 1300
#define MM_CALLER_WAIT_GAIN 0.02 /* weight of one caller in the average */
/* A task in doubt has ended after this time, see MM_RUN_LIMIT_MS.  */
#define MM_IN_DOUBT_MS MM_RESEND_MS
/* Wait of a task in the queue of one owner before it tries another.  */
#define MM_OWNER_WAIT_MS 10
/* Estimated run time of a task until some tasks have ended.  */
#define MM_TASK_ESTIMATE_MS 250
#define MM_MEAN_TASK_GAIN 0.02  /* weight of one run in the mean run time */
#define MM_FLEET_MAX_OWNERS 128 /* owners considered for one task */
#define MM_DISPATCH_RULE MM_DISPATCH_MOST_FITS /* see mm_dispatch */

/* Searches for owners that no link leads to (mm_owner_finder).  */
#define MM_OWNER_FINDER_LINKS 4u        /* required by one search */
#define MM_OWNER_FINDER_PAUSE_MS 250    /* between searches for equal needs */
#define MM_OWNER_FINDER_LIST_MS 10000   /* the list is read on for this long */
#define MM_OWNER_FINDER_MAX_NEEDS 1024u /* whose last search is remembered */
/* Owners that were read longer ago are read again for a search.  */
#define MM_OWNER_FINDER_AGE_MS 1000

/* The platform's store (mm_stream, mm_partitions, mm_members, mm_node).  */
#define MM_STORE_TIMEOUT_MS 1500 /* of a call; a slow store takes 0.4 s */
#define MM_STORE_RETRY_MS 250    /* after a call that failed */
/* Reads of a stream are split into chunks that occupy the link of this
   instance for this long each, as calls to upstreams use the same link.  */
#define MM_STREAM_CHUNK_MS 30
#define MM_STREAM_CHUNK_MIN_BYTES (8u << 10) /* of a chunk, on slow links */
/* The store sends no more than this in one answer.  */
#define MM_STORE_ANSWER_MAX_BYTES (1u << 20)
/* Answer size that the timeout of a read allows for, until a read fails.  */
#define MM_STORE_ANSWER_TYPICAL_BYTES (128u << 10)
/* A reader that has missed more records than this many times the number of
   keys reads the newest record of each key again.  The store sends some text
   around each of these newest records, so that below this factor the missed
   records are less to read.  */
#define MM_STREAM_BEHIND_FACTOR 2u
/* How long a read of the configuration waits at the store.  A configuration
   must be in force 2 s after it is published.  A waiting read gets it at
   once, and an unresponsive connection is noticed in time.  */
#define MM_CONFIG_WAIT_MS 1800
/* Upstreams write to their list all the time, so reads of the list do not
   wait at the store.  A leaving upstream must get no start from 2 s after it
   announced that it leaves.  The instances take turns: the list is read every
   MM_LIST_POLL_MS.  If the instance whose turn it is fails, the next one reads
   the list MM_LIST_RANK_DELAY_MS later, and so on; no instance waits for more
   than MM_LIST_RANK_MAX others.  */
#define MM_LIST_POLL_MS 800
#define MM_LIST_RANK_DELAY_MS 60 /* longer than an update takes to arrive */
#define MM_LIST_RANK_MAX 5u
#define MM_LIST_LOG_MAX 64u   /* changes kept to be sent to peers */
#define MM_LIST_NOTIFY_MS 200 /* between notifications without a change */
/* After a full read, an instance reads the list by itself for this long.  Each
   upstream writes to the list more often than that.  */
#define MM_LIST_OWN_READS_MS 5000
#define MM_STREAM_CONTACT_MS 1500 /* in contact this long after an answer */
/* The log states when an instance that owns upstreams has not known the
   current list for this long.  */
#define MM_LIST_BEHIND_MS 3000
/* An entry that is missing for longer is dropped.  Entries that were missing
   because of an outage come back within 2 s.  */
#define MM_LIST_DROP_MS 2500
/* After this time without a join, the upstreams of an owner are reassigned. */
#define MM_GROUP_TTL_MS 1500
/* Pause between the joins by which a member renews its membership.  */
#define MM_GROUP_HEARTBEAT_MS 300
/* Pause between joins of a new member that owns no partition yet.  There is
   time in it for ten store calls of 4 ms and some ticks.  After a TTL no
   partition is left to wait for, so the fast poll ends.  */
#define MM_GROUP_FAST_POLL_MS 40
#define MM_GROUP_FAST_POLL_FOR_MS (MM_GROUP_TTL_MS + MM_GROUP_HEARTBEAT_MS)
/* A starting instance joins a group once it knows whether its previous
   incarnation is still a member; after the partitions are reassigned, the
   store may not name that incarnation any more.  The instance waits for this
   long at most: a call takes 4 ms, and 0.2 to 0.4 s when the store is
   slow.  */
#define MM_PREDECESSORS_WAIT_MS 100
/* For this long after a confirmed join, no other instance owns the partitions
   of this one.  The rest of the TTL is for calls that are under way.  */
#define MM_GROUP_CONFIRMED_MS 1000
/* When a join takes longer, the store counts as not answering; a slow store
   takes 0.4 s.  */
#define MM_GROUP_ANSWER_MS 800
#define MM_MEMBERS_POLL_MS 3000   /* between reads of the list of instances */
#define MM_MEMBERS_FIRST_POLLS 4u /* first reads of that list at a start */
#define MM_MEMBERS_FIRST_POLL_MS 100 /* between these first reads */
/* Other data centres whose list of instances is read at a time.  */
#define MM_MEMBERS_FAR_PER_POLL 4u
/* A handover waits this long at most for the runs on the upstream to end.  */
#define MM_HANDOVER_MS 2500
/* With transferred runs, a handover waits this long for links to the instances
   that may be the next owner.  A connection and the first report take up to
   50 ms.  */
#define MM_HANDOVER_LINK_MS 300
/* Runs are transferred only if the last join took no longer than this: between
   the release and the first hold of the next owner there are two calls to the
   store, in which the leases must not expire.  */
#define MM_HANDOVER_STORE_MS 200
/* The next owner of an upstream notifies the other instances of the runs that
   it found there, and stops those that none of them claims within this time.
   An answer takes 2 ms, and at most two ticks pass.  */
#define MM_ADOPT_TIMEOUT_MS 60
/* An instance that lost an upstream waits this long for the request of the
   next owner, which learns of the upstream with its next call to the store at
   the latest.  */
#define MM_ORPHAN_TIMEOUT_MS 400
#define MM_HANDOVER_MARGIN_MS 200    /* the last task may be this late */
#define MM_ESTIMATE_ERROR_FACTOR 1.4 /* declared run times are off by 40 % */
/* An instance that was stalled for longer than this starts none of the tasks
   it had, as callers may have sent their jobs again elsewhere.  */
#define MM_STALL_MS 700
#define MM_LOOP_GAP_MS 100 /* a shorter time without events is not logged */
/* The load balancer checks an instance once a second and removes it after two
   failed checks.  Until then new connections still arrive.  */
#define MM_LEAVE_DRAIN_MS 2200
/* A leaving process ends this long before the kill.  */
#define MM_LEAVE_MARGIN_MS 300
/* Time for the call to the store at the end of a handover.  */
#define MM_LEAVE_CALL_MS 200
/* Jobs that arrive less than this before the kill are refused, as they might
   be interrupted.  Most jobs take less.  */
#define MM_LEAVE_REFUSE_MS 2000
/* A leaving instance closes callers' connections that are idle for this long,
   the shortest time that libmicrohttpd has.  */
#define MM_HTTP_LEAVING_IDLE_S 1

/* Callers (mm_http_server, mm_budget); docs/OPERATIONS.md lists the limits. */
#define MM_DEFAULT_MEMORY_MB 260      /* of the machine */
#define MM_DEFAULT_DESCRIPTORS 4100   /* of the process */
#define MM_DEFAULT_BODY_KB 2048       /* largest body of a caller's request */
#define MM_FILE_DESCRIPTORS 200       /* not available for sockets */
#define MM_READY_CONNECTIONS 64u      /* of the readiness check */
#define MM_STATE_CONNECTIONS 32u      /* of the state dump */
#define MM_HTTP_MAX_CONNECTIONS 4000u /* of a server without other limits */
/* Shares of the machine's memory, in sixteenths.  */
#define MM_BUDGET_CONNECTIONS_16THS 3u
#define MM_BUDGET_BODIES_16THS 2u
#define MM_BUDGET_JOBS_16THS 4u
/* Buffers of a connection; the header of a request must fit in the first.  */
#define MM_HTTP_POOL_BYTES 8192
#define MM_HTTP_SOCKET_BUFFER_BYTES 16384 /* the kernel's, each way */
/* What a connection counts as.  */
#define MM_HTTP_CONNECTION_BYTES                                              \
  (MM_HTTP_POOL_BYTES + MM_HTTP_SOCKET_BUFFER_BYTES)
/* Ages by which connections are closed when there are too many: first those
   without a request, then spare ones, then those that do not read their
   answers, which fit in the buffer of a socket.  */
#define MM_CONN_NEW_MS 1000
#define MM_CONN_SPARE_MS 10000
#define MM_CONN_SENDING_MS 200
#define MM_HTTP_BODY_STEP_BYTES 4096u /* by which bodies grow, at least */
#define MM_HTTP_ACCEPTS_PER_TURN 64u  /* in one iteration of the event loop */
#define MM_HTTP_ACCEPT_PAUSE_MS 100   /* while no descriptor is left */
/* Time in one iteration of the event loop for handling requests; the others
   are handled in the next one.  Of larger bodies, one is handled.  */
#define MM_HTTP_TURN_MS 10
#define MM_HTTP_LARGE_BODY_BYTES 16384u
/* Longest time from the first line of a request to its end, and for sending an
   answer.  */
#define MM_HTTP_TRANSFER_MS 60000
#define MM_HTTP_CHECK_MS 1000 /* between checks of both */
/* Largest body of a request whose method takes none.  */
#define MM_HTTP_IGNORED_BODY_BYTES 4096u
/* A job of the largest kind has 290 steps that depend on all earlier ones.  */
#define MM_JSON_MAX_VALUES 65536u
#define MM_JSON_MAX_DEPTH 32u
#define MM_MAX_PAYLOAD_BYTES 4000u /* of a job, without JSON escapes */
/* What a job counts as, besides its texts and lists.  */
#define MM_JOB_BASE_BYTES 2048u
#define MM_JOB_TASK_BYTES 384u

/* Idle connections kept by an HTTP client: four to each of 100 upstreams.  */
#define MM_HTTP_CACHED_CONNECTIONS 400

/* Kept jobs, which are stored before they are accepted and run to their end
   whatever instance dies (mm_job_log, mm_kept, mm_kept_tasks).  */
#define MM_JOBS_GROUP "jobs" /* assigns the partitions of kept jobs */
/* Records that arrive during an append share the next append, which follows
   at once and takes some 5 ms.  While the store refuses calls, the pause
   between appends doubles; each append that succeeds shortens it.  */
#define MM_JOB_LOG_PAUSE_MIN_MS 20
#define MM_JOB_LOG_PAUSE_MAX_MS 200
#define MM_JOB_LOG_RETRY_MS 100 /* after a call without an answer */
/* When calls fail for longer than this, the store counts as not answering.  */
#define MM_JOB_LOG_CONTACT_GRACE_MS 300
#define MM_JOB_LOG_MAX_RECORDS 200u
#define MM_JOB_LOG_MAX_BYTES (1u << 20) /* the store accepts 2 MB a call */
/* When the record of a job is not stored within this time, its caller is told
   to send the job again.  The store takes some 7 ms, and 0.4 s when it is
   slow.  */
#define MM_KEPT_STORE_TIMEOUT_MS 1500
/* Timeout of requests to other instances about kept jobs.  A link is closed
   after 0.6 s without a message.  */
#define MM_KEPT_REQUEST_TIMEOUT_MS 700
/* Ends of tasks are acknowledged once they are stored.  For a job that goes
   on, they are stored this long after the first one.  Most jobs end before,
   with one record.  */
#define MM_KEPT_PROGRESS_DELAY_MS 100
/* Longest wait of a task at an owner; less than MM_GROUP_TTL_MS minus
   MM_GROUP_CONFIRMED_MS.  */
#define MM_KEPT_START_WITHIN_MS 200
/* After this time the lease of a task in doubt has expired, even if the clock
   of its upstream is 2 % slow and the last renewal was long under way.  */
#define MM_KEPT_LEASE_EXPIRY_MS 1100
#define MM_KEPT_SEARCH_PAUSE_MS 250 /* between searches for tasks in doubt */
/* Pause between log lines of what searches wait for.  */
#define MM_KEPT_SEARCH_LOG_MS 2000
/* The outcomes of kept jobs are kept for this long; 120 s are required.  */
#define MM_KEPT_OUTCOME_TTL_MS 150000
/* Homes are no longer looked up this long after they were last used.  */
#define MM_KEPT_HOMES_IDLE_MS 30000
/* Pause between reads of the homes, and the shorter one while a request waits
   for its home.  */
#define MM_KEPT_HOMES_POLL_MS 1000
#define MM_KEPT_HOMES_FAST_POLL_MS 40
/* When no home is found within this time, the caller is told to come back,
   which costs it a second.  */
#define MM_KEPT_FIND_HOME_TIMEOUT_MS 400
/* Pause between records by which the read barrier confirms "no such job".  */
#define MM_READ_BARRIER_PAUSE_MS 50
/* After this time without an acknowledgement, the home of an end is asked
   whether the end is stored, and again after each such time.  */
#define MM_UNACKED_END_OVERDUE_MS 1000
/* Ends that are not acknowledged are kept this long, which is longer than a
   data centre is usually unreachable.  */
#define MM_UNACKED_END_TTL_MS 15000
/* Pause between rounds of requests to homes for the jobs whose ends an earlier
   owner left.  */
#define MM_KEPT_FOREIGN_PAUSE_MS 100

/* An instance (mm_node).  */
#define MM_DEFAULT_MESH_PORT 7402   /* for the other instances */
#define MM_DEFAULT_STATE_PORT 7403  /* of the state dump for operators */
#define MM_DEFAULT_PARTITIONS 16    /* in each group of the store */
#define MM_DEFAULT_GRACE_MS 6000    /* from SIGTERM to the kill */
#define MM_DEFAULT_LINK_MBPS 1000.0 /* of the machine's link */
#define MM_RECONCILE_MS 500 /* longest pause between checks of ownership */

#define MM_MAX_CALLER_TIMEOUT_MS 3600000 /* longest caller timeout */
/* Largest body of a request for the state or for readiness.  */
#define MM_STATE_MAX_BODY_BYTES 4096
#define MM_LEAVE_CHECK_MS 50 /* between checks of whether to exit */

/* Logs (mm_log, mm_event).  */
#define MM_LOG_LINE_FIELD "MM_LINE" /* GLib field of a formatted line */
/* While standard output is not read, lines beyond this are dropped.  */
#define MM_LOG_BUFFER_BYTES (256 * 1024)
/* Fuller buffers are written at once, others before the event loop waits.  */
#define MM_LOG_FLUSH_BYTES 8192
/* Log lines of one event per second, beyond which lines are left out.  */
#define MM_LOG_RATE_HIGH 200u /* of failures and changes of state */
#define MM_LOG_RATE_LOW 40u   /* of routine events */

/* Besides the log lines of a job, masticctl explain shows lines about its
   upstreams and instances from this long before the first of them.  */
#define MM_EXPLAIN_BEFORE_MS 3000

/* Stand-ins (mm_run_table).  */
#define MM_RUN_TABLE_STOP_MS 30 /* a stop takes this long */
#define MM_RUN_TABLE_FAIL_MS 5  /* a task that fails runs this long */

/* Runs under leases of the upstream stand-in (mm_run_server).  */
#define MM_RUN_SERVER_TICK_MS 2   /* precision of ends and leases */
#define MM_RUN_SERVER_STALL_MS 15 /* a longer time between ticks is logged */
#define MM_RUN_SERVER_MAX_WAIT_MS 2000 /* longest wait of a hold */
#define MM_SLOT_CPU_MILLI 1000         /* thousandths of a core per slot */

#define MM_STANDIN_MEM_MB 131072   /* memory of an upstream stand-in */
#define MM_STANDIN_SERVICE "tasks" /* service whose tasks it runs */

/* Streams of the platform stand-in (mm_stream_server).  */
#define MM_STREAM_SERVER_TICK_MS 5
#define MM_STREAM_PAGE 100 /* newest records in one answer */

/* Standby for a data centre without instances (mm_datacentres).  */
#define MM_STANDBY_COUNT 2u /* instances that serve it */
/* Pause between checks, each of which goes through all instances.  */
#define MM_STANDBY_CHECK_MS 50
/* Delay until a standby takes over.  A link that was only reset is back
   within it.  */
#define MM_STANDBY_AFTER_MS 100
/* No standby takes over later than this after the last link to the data centre
   was lost: its instances are restarted or replaced by then.  */
#define MM_STANDBY_FORGET_MS 20000
/* Delay until a standby takes over a data centre whose instances the store
   does not list any more.  The upstreams of a data centre that is disconnected
   as a whole leave the upstream list within it, and need no standby.  */
#define MM_STANDBY_ABSENT_MS 3500
/* Pause between reads of the list of instances of such a data centre.  */
#define MM_STANDBY_ABSENT_POLL_MS 500

#endif /* MM_CONFIG_H */
