/* Interpretation of one shard's stream in the log: who owns the shard, and which records are
 * valid. Does no I/O; records are passed in log order. */
#pragma once

#include "internal/codec.h"

#define FB_EPOCH_SUB_BITS 16 /* low bits of an epoch that count handovers */

typedef struct _FbStream FbStream;

typedef enum
{
  FB_STREAM_OK, /* RECORD is valid and is to be applied */
  /* RECORD is a claim that is in force from now on, or a RENEW that made known which claim is in
   * force */
  FB_STREAM_CLAIMED,
  FB_STREAM_DUPLICATE, /* duplicate of a record from a repeated append */
  /* RECORD is of an epoch that a later claim has ended, or is a claim that does not follow the one
   * in force */
  FB_STREAM_SUPERSEDED,
  FB_STREAM_MALFORMED,
  FB_STREAM_OLD /* offset before the next one to read */
} FbStreamResult;

FbStream *fb_stream_new (uint32_t shard);
void fb_stream_free (FbStream *self);

/* Reads the record at OFFSET. After OK and CLAIMED, *RECORD is decoded and the caller has
 * to clear it; after all other results there is nothing to clear. */
FbStreamResult fb_stream_read (FbStream *self, uint64_t offset, const void *data, gsize len,
                               fb_record *record);

/* To be called when the log has dropped all records before FIRST. */
void fb_stream_set_first_retained (FbStream *self, uint64_t first);

/* Returns: the next offset to read. */
uint64_t fb_stream_next (const FbStream *self);
/* Returns: the epoch in force, or 0 if none is known. */
uint64_t fb_stream_epoch (const FbStream *self);
/* Returns: TRUE if records were dropped before they were read; *FIRST is then the offset
 * at which reading began. */
gboolean fb_stream_has_gap (const FbStream *self, uint64_t *first);
/* Returns: the offset from which on every record could be validated; 0 if no record was
 * missed; G_MAXUINT64 if there is no such offset. */
uint64_t fb_stream_validated_from (const FbStream *self);

/* An epoch consists of the offset of the claim and a count of handovers that did not go
 * through the log. */
uint64_t fb_epoch_of_claim (uint64_t offset);
gboolean fb_epoch_same_claim (uint64_t a, uint64_t b);
