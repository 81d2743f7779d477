/* Client accounts as operators configure them, without their keys. */
#pragma once

#include <glib.h>
#include <stdint.h>

/* Amounts of the resources that an account's cap limits. */
typedef struct
{
  int64_t cpu_milli; /* 1/1000 CPU */
  int64_t mem_mb;
  int64_t gpu_count;
} FbAmounts;

typedef struct
{
  char *name;
  uint32_t weight; /* share of the capacity under contention; jobs per second that are owed */
  FbAmounts cap;   /* what may run for the account at a time, over all services; 0: no limit */
} FbAccount;
