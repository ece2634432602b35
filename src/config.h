/* Compile-time defaults of masticmill, gathered in one place.  Every
   value here can be overridden by a daemon's TOML settings unless it
   says otherwise.  */
#ifndef MM_CONFIG_H
#define MM_CONFIG_H

/* Mechanisms of a node, each of which 0 switches off: scripts/ablate.py builds
   and measures it so (docs/DECISIONS.md says what each is worth).  */
#define MM_WITH_ADMISSION 1   /* refuse what would come too late */
#define MM_WITH_COST 1        /* what tasks have cost, not how long they ran */
#define MM_WITH_PRIORITY 1    /* what stands behind a job refuses it not */
#define MM_WITH_PATIENCE 1    /* who asked before takes nobody's turn */
#define MM_WITH_SPREAD_ANEW 1 /* tasks that wait try another owner */
#define MM_WITH_TRUST 1       /* exclude upstreams that fail in a row */
#define MM_WITH_SPEED 1       /* fast upstreams first */
#define MM_WITH_TIGHT_FIT 1   /* then those with the least room */
#define MM_WITH_NEAR_DATA 1   /* those in the rack of the data before all */
#define MM_WITH_PROGRESS 1    /* stop tasks that stand still */
#define MM_WITH_RTO 1         /* time-outs that follow the answer times */
#define MM_WITH_LOSSY_HOLDS 1 /* short holds while answers are lost */
#define MM_WITH_RUN_AGAIN 1   /* tasks out of sight, once they have ended */
#define MM_WITH_ADOPTION 1 /* runs go on under their upstream's next owner */
#define MM_WITH_STANDBY 1  /* for a data centre without instances */
#define MM_WITH_PREDECESSORS 1  /* taken out of their groups */
#define MM_WITH_SERVE_ON 1      /* while leaving, until somebody takes over */
#define MM_WITH_HANDOVER_RUNS 1 /* short tasks on what is handed over */
#define MM_WITH_TELL_HANDED 1   /* tell who can take what is let go of */
#define MM_WITH_BOUNDED_LINKS 1 /* to some instances, not to all */

/* Entry instance.  */
#define MM_DEFAULT_ENTRY_PORT 7100           /* caller HTTP port */
#define MM_DEFAULT_MAX_TASKS_PER_JOB 290     /* largest job (letter 1) */
#define MM_DEFAULT_MAX_BODY_BYTES (4 << 20)  /* largest request body */
#define MM_DEFAULT_TASK_DEADLINE_MS 10000    /* when a task gives none */
#define MM_DEFAULT_RETRY_BUDGET 2            /* retries per task */
#define MM_DEFAULT_RETRY_AFTER_S 1           /* told to refused callers */
#define MM_DEFAULT_DISPATCH_TIMEOUT_MS 15000 /* upstream call timeout */
#define MM_DEFAULT_DONE_TTL_MS 600000        /* finished answers kept */
#define MM_DEFAULT_MEMBER_POLL_MS 500        /* member list poll */
#define MM_DEFAULT_CONFIG_POLL_MS 200        /* config stream poll */
#define MM_DEFAULT_HEARTBEAT_MS 500          /* heartbeat to platform */
#define MM_DEFAULT_EJECT_AFTER_FAILURES 5    /* failures in a row */
#define MM_DEFAULT_EJECT_MS 5000             /* the first ejection's length */
#define MM_EJECT_MAX_DOUBLINGS 4u            /* the longest: 16 times that */
#define MM_DEFAULT_MAX_QUEUED_TASKS 20000    /* admission bound */
#define MM_DEFAULT_UPSTREAM_SLOTS 8          /* slots when not told */
#define MM_DEFAULT_UPSTREAM_CONNECTIONS 60   /* connections per upstream */

#define MM_PLATFORM_CONNECTIONS 32 /* to the platform: one call a shard */

/* Ownership of jobs among the entry instances.  */
#define MM_DEFAULT_SHARDS 16        /* shards of a data centre's jobs */
#define MM_LOG_CALL_TIMEOUT_MS 1000 /* a call to a shard's log */
#define MM_SHARD_TAKE_BURST 3       /* takes at once, then the tick */
#define MM_WITNESS_MS 15000         /* up this long: saw earlier owners */
#define MM_VERIFY_TIMEOUT_MS 300    /* then "not run" is not claimed */
#define MM_VIEW_SETTLE_MS 1000      /* members unchanged: align shards */
#define MM_SHARD_HOLD_DOWN_MS 2000  /* after losing a shard, do not retake */
#define MM_SHARD_TICK_MS 150        /* retries, takes, pings */
#define MM_CONTACT_LOST_MS 500      /* failing this long: no contact */
#define MM_LIST_GRACE_MS 3000       /* after an outage, drop nobody */
#define MM_CONTACT_ALONE_MS 1500    /* and no peer has a word: alone */
#define MM_VOTE_VALID_MS 1000       /* a peer's word on its contact */
#define MM_PEER_PING_TIMEOUT_MS 400 /* a peer that is slower has no vote */
#define MM_PEER_SUSPECT_MS 3000     /* not asked again after failing */
#define MM_FORWARD_MAX_HOPS 3       /* then the job is run where it is */
#define MM_RELEASE_LIMIT_MS 1500    /* shutdown waits for the log */
#define MM_FORWARD_SLACK_MS 500     /* past the deadline for the answer */
#define MM_FENCE_TIMEOUT_MS 1000    /* an upstream's report on a job */
#define MM_RECOVER_POLL_MS 100      /* asking for tasks still running */

/* Team quotas over a data centre.  */
#define MM_QUOTA_REPORT_MS 500      /* to the peers */
#define MM_QUOTA_REPORT_TTL_MS 1500 /* a peer's report counts this long */
#define MM_QUOTA_MAX_ROWS 20u       /* teams in one report */

/* Platform stand-in.  */
#define MM_DEFAULT_PLATFORM_PORT 7000
#define MM_DEFAULT_RETENTION_MS 600000 /* log records kept */
#define MM_DEFAULT_MEMBER_TTL_MS 3000  /* member gone after silence */
#define MM_DEFAULT_MEMBER_LAG_MS 1000  /* the member list lags */
#define MM_DEFAULT_LOG_READ_MAX 512    /* records per read */

/* Upstream stand-in.  */
#define MM_DEFAULT_UPSTREAM_PORT 7200
#define MM_DRAIN_CHECK_MS 20 /* draining: are all answers out? */
#define MM_DEFAULT_POISON_MS 20
#define MM_DEFAULT_BACK_MS 3000

/* Sessions with upstreams (mm_exec).  */
#define MM_EXEC_TICK_MS 25 /* timers of sessions, queues and jobs */
/* Lease of what runs: a lease outlives its holder by this much, and a
   caller whose connection broke sends its job again 1,300 ms later.  The
   remainder covers a clock 2 % slow and the way to the caller.  */
#define MM_LEASE_MS 1000
/* A hold waits for an end, and fails MM_RTO_MAX_MS past its wait at most.
   Twice both stay under a lease: one lost hold costs none.  */
#define MM_HOLD_WAIT_MS 250
/* An end is not seen while the answer of a hold is waited for that was lost:
   with orders unanswered lately, for 100 ms more at most.  */
#define MM_HOLD_WAIT_LOSSY_MS 60
#define MM_LOSSY_PERIOD_MS 1000 /* after an order without an answer */
/* Between holds while ends are listed that are not noted yet: an end is
   seen up to this late then.  */
#define MM_UNACKED_POLL_MS 40
#define MM_HOLD_RETRY_MS 200         /* between holds that get no answer ... */
#define MM_HOLD_IMMEDIATE_RETRIES 3u /* but for the first ones in a row */
#define MM_ACK_DELAY_MS 300 /* ends of an idle upstream, taken note of */
/* An answer takes about 2 ms; an order that is slower is stopped and its task
   placed elsewhere, while that still helps its caller.  The least leaves room
   for what holds this process up, some 20 ms.  */
#define MM_RTO_MIN_MS 30
#define MM_RTO_MAX_MS 100
/* After answers that came late.  A caller that waits for one of eight tasks
   has little more to spare.  */
#define MM_RTO_LATE_MAX_MS 300
#define MM_ORDER_BYTES 600u   /* of a call to an upstream, but its payload */
#define MM_CALL_LATE_MS 500   /* an overdue answer is listened for */
#define MM_RTO_SHARED_MS 1000 /* late so close together: a common cause */
#define MM_RTO_FLOOR_MS 5000  /* what holds answers up comes back: wait on */
/* Past a lease's end by our estimate of the upstream's clock: 2 % of a
   lease for a slow clock, the rest for the estimate's error.  */
#define MM_LEASE_SLACK_MS 60
#define MM_CLOCK_SLOW_PERCENT 2 /* an upstream's steady clock, at most */
/* A task's percent moves a hundred times while it runs.  Unchanged for
   this long, and for so many steps of its declared time, it stands still:
   an upstream 6 times slow still moves every 0.25 s on a task of 4 s.  */
#define MM_NO_PROGRESS_MS 500
#define MM_NO_PROGRESS_STEPS 20

/* Which upstreams get work (mm_breaker, mm_place).  */
/* One task in 500 fails by its own fault: three in a row on one upstream
   by chance is one in 125 million, five would cost two more tasks.  */
#define MM_BREAKER_FAILURES 3u
#define MM_BREAKER_OPEN_MS 1000 /* the first exclusion's length */
#define MM_BREAKER_MAX_DOUBLINGS 3u
#define MM_SPEED_GAIN 0.2    /* weight of one run in an upstream's slowness */
#define MM_AVERAGE_GAIN 0.05 /* weight of one task in the usual size */
#define MM_PLACEMENT_SPEED_STEP 0.25 /* estimates are off by up to 40 % */

/* Tasks that crash their upstreams (mm_suspects).  */
#define MM_SUSPECTS_CRASHES 2u     /* then a task is given up */
#define MM_SUSPECTS_MAX 512u       /* upstreams lost */
#define MM_SUSPECTS_TASKS_MAX 64u  /* of one of them that are told apart */
#define MM_SUSPECTS_KEEP_MS 600000 /* a crash counts so long */
/* What became of an upstream that crashed is known once it is back.  */
#define MM_SUSPECTS_OPEN_MS 15000

/* Queue of an owner (mm_owner).  */
#define MM_OWNER_MAX_MISSES 16u /* tasks tried that do not fit */
#define MM_MIN_DONE_SHARE                                                     \
  0.2 /* share of runs: fewer say nothing of the cost */
#define MM_PRIORITY_LEVELS 4u /* told apart in reports of room */

/* Links between instances (mm_link, mm_mesh).  */
#define MM_LINK_MAX_BYTES                                                     \
  (8u << 20) /* unread or unsent: then it is closed                           \
              */
#define MM_MESH_HEARTBEAT_MS                                                  \
  150 /* each side says something at least this often                         \
       */
/* A peer silent for so long is given up: its tasks' work here is stopped
   well before their callers send them again, 1,300 ms after a break.  */
#define MM_MESH_TIMEOUT_MS 600
#define MM_MESH_RECONNECT_MS 250
#define MM_MESH_REPORT_MS 25 /* at most this often, when room changes */
/* And about this often over all links: writing reports costs more than
   anything else that grows with their number.  */
#define MM_MESH_REPORTS_PER_S 240
/* Links of an instance: enough to find room, however many others there are.
 */
#define MM_NEIGHBOURS_NEAR 10u    /* in its own data centre */
#define MM_NEIGHBOURS_FAR 6u      /* in all others together */
#define MM_NEIGHBOURS_FAR_EACH 2u /* in one of them */
/* One whose link was lost is tried after the others for so long; most
   restarts are over by then.  */
#define MM_NEIGHBOUR_LOST_MS 2000
/* A newcomer is in the list after it has joined and the list was read.  */
#define MM_NEIGHBOUR_NEW_MS 5000
#define MM_MESH_LINK_KEEP_MS 10000 /* a link that was asked for is kept */
#define MM_NEIGHBOURS_CHECK_MS 500 /* chosen anew at least this often */

#define MM_QUEUE_DELAY_WINDOW_MS 30000 /* what is usual on a link */

/* Jobs and admission (mm_jobs, mm_admission, mm_fleet).  */
#define MM_MAX_JOB_TASKS 1024u /* the design asks for 290 */
/* Caller to instance to upstream and back, with the orders' handling.  */
#define MM_OVERHEAD_MS 15
/* A hand-over without a word takes so long at most; after the death of an
   owner it is 1.5 s, which few jobs can wait.  */
#define MM_OWNER_GAP_MS 500
#define MM_RETRY_AFTER_NO_ROOM_S 1
#define MM_LATE_FACTOR 3.0 /* answers up to 3 objectives are of use */
/* Callers send a job again so long after their connection broke.  */
#define MM_RESEND_MS 1300
#define MM_CALLER_WAIT_GAIN 0.02 /* weight of one caller in what is usual */
/* A task out of sight has ended by then: its lease takes 1,000 ms, on a clock
   2 % slow, the rest is for its owner to notice that we are gone.  */
#define MM_IN_DOUBT_MS MM_RESEND_MS
#define MM_OWNER_WAIT_MS 40 /* in one owner's queue, then spread anew */
#define MM_TASK_ESTIMATE_MS                                                   \
  250                          /* a task's run time, until some have ended    \
                                */
#define MM_MEAN_TASK_GAIN 0.02 /* weight of one run in the mean */
#define MM_FLEET_MAX 128       /* instances that a task is spread over */

/* The platform's store (mm_stream, mm_partitions, mm_members, mm_node).  */
#define MM_STORE_TIMEOUT_MS 1500 /* a call; a slow store takes 0.4 s */
#define MM_STORE_RETRY_MS 250    /* after a call that failed */
/* Reads of a stream are cut into answers that hold up our link for so long,
   as orders to upstreams come over it too.  */
#define MM_STREAM_PIECE_MS 30
#define MM_STREAM_PIECE_MIN_BYTES (8u << 10)
#define MM_STORE_ANSWER_MAX_BYTES (1u << 20) /* the store sends no more */
#define MM_STORE_ANSWER_USUAL_BYTES (128u << 10)
/* The newest records come with some text around each: further behind than so
   many times their number, they are less to read than what was missed.  */
#define MM_STREAM_BEHIND_FACTOR 2u
/* A configuration is in force 2 s after it is published: a read that
   waits at the store learns of it at once, and a silent connection is
   noticed in time.  */
#define MM_CONFIG_WAIT_MS 1800
/* Upstreams write to their list all the time, so no read waits there.  A
   leaving one must get no start 2 s after it said so: the list is read each
   MM_LIST_POLL_MS, and MM_LIST_RANK_MAX places later if the instances
   before fail.  */
#define MM_LIST_POLL_MS 800
#define MM_LIST_RANK_DELAY_MS 60 /* an update takes less */
#define MM_LIST_RANK_MAX 5u
#define MM_LIST_LOG_MAX 64u   /* changes that are passed on */
#define MM_LIST_NOTIFY_MS 200 /* between views that bring no change */
/* After all of the list was read: upstreams write to it more often.  */
#define MM_LIST_OWN_READS_MS 5000
#define MM_STREAM_TOUCH_MS 1500 /* known so lately: in touch */
#define MM_LIST_BEHIND_MS 3000  /* without reading it to its end: logged */
#define MM_LIST_DROP_MS 2500    /* missing entries come back within 2 s */
#define MM_GROUP_TTL_MS 1500    /* a silent owner's upstreams go to others */
#define MM_GROUP_BEAT_MS 300
/* Between the joins of a newcomer that has no partition yet: ten store calls
   of 4 ms, and some ticks.  Past a TTL there is none that it could wait for.
 */
#define MM_GROUP_FAST_POLL_MS 40
#define MM_GROUP_FAST_POLL_FOR_MS (MM_GROUP_TTL_MS + MM_GROUP_BEAT_MS)
/* A newcomer joins once it knows whether an earlier life of its own is in the
   group: with the shares dealt anew, the store may not name that one.  No
   longer than this: a call takes 4 ms, and 0.2 to 0.4 s when it is slow.  */
#define MM_PREDECESSORS_WAIT_MS 100
/* A join confirmed this recently: nobody else has our partitions yet.  The
   rest of the TTL is for what is under way.  */
#define MM_GROUP_SURE_MS 1000
#define MM_MEMBERS_POLL_MS 3000      /* who the other instances are */
#define MM_MEMBERS_FIRST_POLLS 4u    /* at a start, these are ... */
#define MM_MEMBERS_FIRST_POLL_MS 100 /* so far apart */
#define MM_MEMBERS_FAR_PER_POLL 4u   /* data centres asked about each time */
/* Upstreams to be handed over may finish what they run for so long.  */
#define MM_HANDOVER_MS 2500
/* The next owner of an upstream asks the others whose runs it found there, and
   stops those that nobody has asked for by then: an answer takes 2 ms, two
   ticks pass at most.  */
#define MM_ADOPT_TIMEOUT_MS 60
/* Who lost an upstream waits so long to be asked: the next owner learns of it
   with its next call to the store at the latest.  */
#define MM_ORPHAN_MS 400
#define MM_HANDOVER_MARGIN_MS 200 /* the last task may be so late */
#define MM_ESTIMATE_ERROR 1.4     /* declared run times are off by 40 % */
/* Standing still for longer than this, an instance starts nothing of what
   it had: callers may have sent their jobs again elsewhere.  */
#define MM_STALL_MS 700
/* The balancer asks once a second and takes an instance out after two
   misses; until then new connections still come.  */
#define MM_LEAVE_DRAIN_MS 2200
#define MM_LEAVE_MARGIN_MS 300 /* gone this long before the kill */
#define MM_LEAVE_CALL_MS                                                      \
  200 /* to tell the store, at the end of a hand-over                         \
       */
/* Longer than most jobs take: a job that comes later than this before the
   kill may be cut off, and is refused.  */
#define MM_LEAVE_REFUSE_MS 2000
#define MM_HTTP_LEAVING_IDLE_S 1 /* the shortest that libmicrohttpd has */

/* Kept connections of an HTTP client: four to each of 100 upstreams.  */
#define MM_HTTP_KEPT_CONNECTIONS 400

/* Kept jobs (mm_job_log, mm_kept, mm_kept_run).  */
#define MM_JOBS_GROUP "jobs" /* shares out the partitions of kept jobs */
/* Records that come while an append is under way share the next one, which
   follows at once: some 5 ms.  A store that refuses calls gets fewer: the
   pause between them doubles, and shrinks with each that is taken.  */
#define MM_JOB_LOG_PAUSE_MIN_MS 20
#define MM_JOB_LOG_PAUSE_MAX_MS 200
#define MM_JOB_LOG_RETRY_MS 100 /* after a call without an answer */
#define MM_JOB_LOG_CONTACT_GRACE_MS                                           \
  300 /* failing for longer: it does not answer */
#define MM_JOB_LOG_MAX_RECORDS 200u
#define MM_JOB_LOG_MAX_BYTES (1u << 20) /* the store takes 2 MB a call */
/* A caller is told to send its job again when its record is not stored by
   then: the store takes some 7 ms, and 0.4 s when it is slow.  */
#define MM_KEPT_ACCEPT_MS 1500
/* Answers of other instances about kept jobs; a link is silent for 0.6 s
   before it is given up.  */
#define MM_KEPT_REQUEST_TIMEOUT_MS 700
/* Ends of tasks are taken note of once they are stored: so long after the
   first, for a job that goes on.  Most jobs end before, with one record.  */
#define MM_KEPT_PROGRESS_DELAY_MS 100
/* A task's wait at an owner, less than what MM_GROUP_SURE_MS leaves.  */
#define MM_KEPT_START_WITHIN_MS 200
/* The longest lease, on a clock 2 % slow, and what is under way.  */
#define MM_KEPT_LEASE_LAPSE_MS 1100
#define MM_KEPT_SEARCH_PAUSE_MS 250 /* between questions for lost tasks */
#define MM_KEPT_OUTCOME_TTL_MS                                                \
  150000 /* outcomes are kept; 120 s are asked for */
#define MM_KEPT_HOMES_IDLE_MS                                                 \
  30000 /* last seen: then homes are not looked up */
#define MM_KEPT_HOMES_POLL_MS 1000
#define MM_KEPT_HOMES_FAST_POLL_MS                                            \
  40 /* while a request looks for its home                                    \
      */
/* Then its caller is told to come back, which costs it a second.  */
#define MM_KEPT_FIND_HOME_TIMEOUT_MS 400
#define MM_READ_BARRIER_PAUSE_MS 50 /* between records that prove it */
/* Ends that nobody has taken note of are held for so long: longer than cuts
   of a data centre usually last.  */
#define MM_KEPT_END_MS 15000
/* Between rounds of asking homes for the jobs of an earlier owner's ends.  */
#define MM_KEPT_FOREIGN_PAUSE_MS 100

/* An instance (mm_node).  */
#define MM_DEFAULT_MESH_PORT 7402
#define MM_DEFAULT_STATE_PORT 7403
#define MM_DEFAULT_PARTITIONS 16
#define MM_DEFAULT_GRACE_MS 6000
#define MM_DEFAULT_LINK_MBPS 1000.0
#define MM_RECONCILE_MS 500 /* check ownership at least this often */

#define MM_MAX_PATIENCE_MS 3600000 /* longest deadline of a caller taken */
#define MM_STATE_MAX_BODY_BYTES 4096
#define MM_LEAVE_CHECK_MS 50

/* Logs (mm_log, mm_event).  */
#define MM_LOG_LINE_FIELD "MM_LINE"      /* a line that is ready made */
#define MM_LOG_BUFFER_BYTES (256 * 1024) /* unread: then lines are dropped */
#define MM_LOG_FLUSH_BYTES 8192          /* written before the loop waits */
#define MM_LOG_RATE_KEPT 200u /* lines of one kind a second: failures */
#define MM_LOG_RATE_USUAL 40u /* and daily business */

#define MM_EXPLAIN_BEFORE_MS 3000 /* context of a job: this long before it */

/* Stand-ins (mm_run_table).  */
#define MM_MODEL_STOP_MS 30 /* a stop takes so long */
#define MM_MODEL_FAIL_MS 5  /* a task that fails runs so long */

/* Upstream stand-in's runs under leases (mm_run_server).  */
#define MM_RUN_SERVER_TICK_MS 2        /* ends and leases, this exactly */
#define MM_RUN_SERVER_MAX_WAIT_MS 2000 /* a hold waits at most so long */
#define MM_SLOT_CPU_MILLI 1000         /* a slot, as room under leases */

#define MM_STANDIN_MEM_MB 131072   /* of an upstream stand-in */
#define MM_STANDIN_SERVICE "tasks" /* whose tasks it runs */

/* Platform stand-in's streams (mm_stream_server).  */
#define MM_STREAM_SERVER_TICK_MS 5
#define MM_STREAM_PAGE 100 /* newest records in one answer */

/* Standing in for a data centre without instances (mm_datacentres).  */
#define MM_STANDBY_COUNT 2u        /* instances that do, the others do not */
#define MM_STANDBY_CHECK_MS 50     /* each look goes through all instances */
#define MM_STANDBY_AFTER_MS 100    /* a link that was only reset is back */
#define MM_STANDBY_FORGET_MS 20000 /* restarted or replaced by then */

#endif /* MM_CONFIG_H */
