// Includes all parts of the simulation of a scheduler under a workload.
#pragma once

#include "load_run.h"
#include "load_run_actions.h"
#include "load_run_engines.h"
#include "load_run_requests.h"
#include "load_run_steps.h"
