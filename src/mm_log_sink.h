/* mm_log_sink: lines to standard output that never block the process.  */
#ifndef MM_LOG_SINK_H
#define MM_LOG_SINK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

void mm_log_sink_open (int fd);                      /* sets it non-blocking */
bool mm_log_sink_put (const char *line, size_t len); /* false: dropped */
void mm_log_sink_flush (void);       /* write what the reader takes */
uint64_t mm_log_sink_dropped (void); /* lines, since the start */
void mm_log_sink_close (void);       /* flush, restore the mode */

#endif /* MM_LOG_SINK_H */
