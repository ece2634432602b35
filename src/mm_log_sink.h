/* mm_log_sink: output of log lines that never blocks the process.  */
#ifndef MM_LOG_SINK_H
#define MM_LOG_SINK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Sets @fd non-blocking and writes all further lines to it.  */
void mm_log_sink_open (int fd);
/* Buffers a line of @len bytes, which has no newline, and appends one; flushes
   the buffer once it holds MM_LOG_FLUSH_BYTES.  Returns false when the line is
   dropped: the buffer is full, or mm_log_sink_open() was not called yet.  */
bool mm_log_sink_put (const char *line, size_t len);
/* Writes as many buffered bytes as the output accepts without blocking.  */
void mm_log_sink_flush (void);
/* Returns the number of lines dropped at a full buffer since the process
   started.  */
uint64_t mm_log_sink_dropped (void);
/* Flushes and restores the flags that the file descriptor had before
   mm_log_sink_open().  */
void mm_log_sink_close (void);

#endif /* MM_LOG_SINK_H */
