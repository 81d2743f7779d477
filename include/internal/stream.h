/* What one shard's stream in the log says: who owns the shard, and which of
 * its records count.  Pure; fed in the order of the log. */
#pragma once

#include "internal/codec.h"

#define FB_EPOCH_SUB_BITS 16

typedef struct _FbStream FbStream;

typedef enum
{
  FB_STREAM_OK,         /* RECORD counts and is to be applied */
  FB_STREAM_CLAIMED,    /* a claim took effect */
  FB_STREAM_DUPLICATE,  /* the same append once more */
  FB_STREAM_SUPERSEDED, /* of an epoch that a claim has ended, or a lost claim */
  FB_STREAM_MALFORMED,
  FB_STREAM_OLD /* before the place already read */
} FbStreamResult;

FbStream *fb_stream_new (uint32_t shard);
void fb_stream_free (FbStream *self);

/* Reads one record at OFFSET.  On OK and CLAIMED, *RECORD is decoded and is to
 * be cleared by the caller; on all others there is nothing to clear. */
FbStreamResult fb_stream_read (FbStream *self, uint64_t offset, const void *data, gsize len,
                               fb_record *record);

/* Notes that the log no longer holds what lies before FIRST. */
void fb_stream_note_first_retained (FbStream *self, uint64_t first);

uint64_t fb_stream_next (const FbStream *self);
uint64_t fb_stream_epoch (const FbStream *self);
/* Returns: TRUE when records were dropped before they were read; then *FIRST is
 * the offset at which reading began. */
gboolean fb_stream_has_gap (const FbStream *self, uint64_t *first);
/* Returns: the offset from which on all records could be judged, or
 * G_MAXUINT64 when no such place was found. */
uint64_t fb_stream_validated_from (const FbStream *self);

/* Epochs: the offset of the claim, then a count of hand-overs without log. */
uint64_t fb_epoch_of_claim (uint64_t offset);
gboolean fb_epoch_same_claim (uint64_t a, uint64_t b);
