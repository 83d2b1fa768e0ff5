// A run of one scheduler under one load, with all its parts.
#pragma once

#include "load_run.h"
#include "load_run_actions.h"
#include "load_run_engines.h"
#include "load_run_requests.h"
#include "load_run_steps.h"
