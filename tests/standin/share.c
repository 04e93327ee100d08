/**
 * @file share.c
 * @brief Gives a process a share of a core, as a quota of CPU time would.
 *
 * Usage: standin_share PID PERMILLE. Stops the process by SIGSTOP for the rest
 * of a period once its threads have used their share of it; what they used
 * beyond it counts in the next period. The process must be a child of the same
 * parent. Exits when it has ended, and after SIGTERM or the end of the parent;
 * the process goes on then. While standin_share itself is stopped, another
 * program may stop the process.
 */
#include <dirent.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#define SHARE_PERIOD_NS INT64_C(100000000)
#define SHARE_STEP_MS 2

static volatile sig_atomic_t share_ended;

static void on_end(int signo)
{
	(void)signo;
	share_ended = 1;
}

static int64_t now_ns(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (int64_t)now.tv_sec * 1000000000 + now.tv_nsec;
}

/* Returns the first number of a file, or -1. */
static int64_t number_read(const char *path, const char *format)
{
	FILE *file = fopen(path, "r");
	long long number;
	bool found;

	if (!file)
		return -1;
	found = fscanf(file, format, &number) == 1;
	fclose(file);
	return found ? number : -1;
}

/* Returns the CPU time of all threads that a process has. */
static int64_t cpu_ns(int pid)
{
	char path[300];
	struct dirent *entry;
	int64_t sum = 0;
	DIR *tasks;

	snprintf(path, sizeof(path), "/proc/%d/task", pid);
	tasks = opendir(path);
	while (tasks && (entry = readdir(tasks))) {
		int64_t used;

		snprintf(path, sizeof(path), "/proc/%d/task/%s/schedstat", pid,
			 entry->d_name);
		used = entry->d_name[0] == '.' ? 0 : number_read(path, "%lld");
		sum += used > 0 ? used : 0;
	}
	if (tasks)
		closedir(tasks);
	return sum;
}

static void send_signal(int process, int signo)
{
	syscall(SYS_pidfd_send_signal, process, signo, NULL, 0);
}

static void share_run(int pid, int process, int64_t quota_ns)
{
	struct pollfd end = { .fd = process, .events = POLLIN };
	int64_t period_end_ns = now_ns() + SHARE_PERIOD_NS;
	int64_t allowed_ns = cpu_ns(pid) + quota_ns;
	bool stopped = false;

	while (!share_ended && poll(&end, 1, SHARE_STEP_MS) <= 0) {
		int64_t used_ns = cpu_ns(pid);

		if (now_ns() >= period_end_ns) {
			/* No quota is saved up. */
			period_end_ns = now_ns() + SHARE_PERIOD_NS;
			allowed_ns =
				(allowed_ns < used_ns ? allowed_ns : used_ns) +
				quota_ns;
			if (stopped && used_ns < allowed_ns) {
				send_signal(process, SIGCONT);
				stopped = false;
			}
		} else if (!stopped && used_ns >= allowed_ns) {
			send_signal(process, SIGSTOP);
			stopped = true;
		}
	}
}

int main(int argc, char **argv)
{
	const struct sigaction action = { .sa_handler = on_end };
	char path[64];
	int process;
	int pid;

	if (argc != 3) {
		fprintf(stderr, "usage: %s PID PERMILLE\n", argv[0]);
		return 2;
	}
	sigaction(SIGTERM, &action, NULL);
	sigaction(SIGINT, &action, NULL);
	prctl(PR_SET_PDEATHSIG, SIGTERM);
	pid = atoi(argv[1]);
	process = (int)syscall(SYS_pidfd_open, pid, 0);
	snprintf(path, sizeof(path), "/proc/%d/stat", pid);
	if (process < 0 ||
	    number_read(path, "%*d %*s %*c %lld") != (int64_t)getppid()) {
		fprintf(stderr, "process %d is not of the same parent\n", pid);
		return 1;
	}
	share_run(pid, process, SHARE_PERIOD_NS / 1000 * atoi(argv[2]));
	send_signal(process, SIGCONT);
	return 0;
}
