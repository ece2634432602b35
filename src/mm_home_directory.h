/* mm_home_directory: which instance is the home of each partition of kept
   jobs, polled from the store.  */
#ifndef MM_HOME_DIRECTORY_H
#define MM_HOME_DIRECTORY_H

#include "mm_mesh.h"
#include "mm_predecessors.h"

typedef struct mm_home_directory mm_home_directory;

/* @self: member name of this instance; copied.  @port is copied; @mesh and
   @predecessors must outlive the directory.  */
mm_home_directory *mm_home_directory_create (const mm_store_port *port,
                                             mm_mesh *mesh, const char *self,
                                             uint32_t n_partitions,
                                             mm_predecessors *predecessors);
void mm_home_directory_destroy (mm_home_directory *h);
/* The partition that a job id is hashed to, the same at all instances.  */
uint32_t mm_home_directory_partition_of (const mm_home_directory *h,
                                         const char *job_id);
/* Member name of the partition's home, which may be this instance; NULL when
   the home is not known.  */
const char *mm_home_directory_lookup (const mm_home_directory *h,
                                      uint32_t partition);
/* Records a request about a kept job.  For MM_KEPT_HOMES_IDLE_MS afterwards
   the store is polled more often, and links to the homes are kept.  */
void mm_home_directory_set_used (mm_home_directory *h);
/* A home was not found where the directory says: makes the next poll due
   MM_KEPT_HOMES_FAST_POLL_MS after the last one at the latest.  */
void mm_home_directory_poll_soon (mm_home_directory *h);
/* Whether the last call to the store has failed.  */
bool mm_home_directory_failing (const mm_home_directory *h);
/* Whether the homes have been read from the store at least once.  */
bool mm_home_directory_loaded (const mm_home_directory *h);
/* Call each MM_EXEC_TICK_MS.  */
void mm_home_directory_tick (mm_home_directory *h);

#endif /* MM_HOME_DIRECTORY_H */
