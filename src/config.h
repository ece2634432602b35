/* Compile-time defaults of masticmill, gathered in one place.  Every
   value here can be overridden by a daemon's TOML settings unless it
   says otherwise.  */
#ifndef MM_CONFIG_H
#define MM_CONFIG_H

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

#endif /* MM_CONFIG_H */
