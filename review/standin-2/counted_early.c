/*
 * Two racks of workers lose power one after the other. Jobs whose work items
 * have run for a good while on both must not be shown as failed.
 */
#include "world.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define WORKERS 12
#define RACK 4
#define JOBS 6
/* Times from the handing in of the jobs, in ms. */
#define FIRST_MS 600
#define DOWN_MS 700
#define ENTRY_MS 800
#define WATCH_MS 6000
#define FINISH_MS 20000

static const char config[] =
	"{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"q.example\","
	"\"prefix\":\"/q1/\",\"type\":\"unsafe\",\"timeout_ms\":3000,"
	"\"slo_ms\":600,\"priority\":0,\"service\":\"svc\",\"attempts\":3,"
	"\"stretch\":1.6}],\"services\":[{\"name\":\"svc\","
	"\"health_path\":\"/healthz\",\"max_conns\":64,\"protocol\":\"h1\","
	"\"tls\":false,\"enforces_capacity\":true,\"spare\":false}],"
	"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
	"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
