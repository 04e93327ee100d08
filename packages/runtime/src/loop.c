#include "loop.h"

#include "histogram.h"
#include "log.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/signalfd.h>
#include <time.h>
#include <unistd.h>

#define LOOP_WAIT_MAX_MS 1000
/* Lateness from which an iteration counts in the histogram, and from which it
 * is logged. */
#define LOOP_LATE_MS 20
#define LOOP_STALLED_MS 500
/* Interval at which the CPU time is read, which is a system call. */
#define LOOP_CPU_INTERVAL_MS 100
/* Signals that are delivered to the callback. */
static const int loop_signals[] = { SIGTERM, SIGINT, SIGHUP };
/* Signals that would end or stop the process although they have no meaning for
 * it, for example after a mistyped kill command. SIGQUIT and the signals of
 * faults keep their meaning: end with a core dump. */
static const int loop_meaningless_signals[] = {
	SIGUSR1, SIGUSR2, SIGPIPE, SIGALRM, SIGVTALRM, SIGPROF, SIGPOLL,
	SIGPWR,	 SIGTSTP, SIGTTIN, SIGTTOU, SIGXCPU,   SIGXFSZ, SIGSTKFLT
};
#define LOOP_LISTEN_BACKLOG 1024

struct loop {
	h2o_evloop_t *h2o;
	struct timer_queue *timers;
	h2o_socket_t *signal_sock;
	loop_signal_cb signal_cb;
	void *signal_data;
	bool stop_requested;
	/* of iterations that were late */
	struct histogram *stalls;
	/* start of the last iteration, and how long it was to wait */
	uint64_t ticked_ms;
	uint32_t wait_ms;
	/* CPU time of the process, and when it was read */
	uint64_t cpu_ms;
	uint64_t cpu_read_ms;
};

struct loop *loop_create(void)
{
	struct loop *loop = g_new0(struct loop, 1);

	loop->h2o = h2o_evloop_create();
	loop->timers = timer_queue_create();
	loop->stalls = histogram_create("loop_stall", "");
	return loop;
}

void loop_destroy(struct loop *loop)
{
	if (!loop)
		return;
	if (loop->signal_sock)
		h2o_socket_close(loop->signal_sock);
	/* h2o 2.2.5 frees a closed socket in the iteration after the close. */
	h2o_evloop_run(loop->h2o, 0);
	timer_queue_destroy(loop->timers);
	histogram_destroy(loop->stalls);
	/* h2o_evloop_destroy() asserts that no timeout list is registered; a
	 * loop that still has one is not freed. */
	if (h2o_linklist_is_empty(&loop->h2o->_timeouts))
		h2o_evloop_destroy(loop->h2o);
	g_free(loop);
}

static uint64_t cpu_now_ms(void)
{
	struct timespec used;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
	return (uint64_t)used.tv_sec * 1000 + (uint64_t)used.tv_nsec / 1000000;
}

/* Records an iteration that began late: a callback took long, or the process
 * was stopped or got no CPU. The CPU time tells these apart. */
static void iteration_observe(struct loop *loop, uint64_t now_ms)
{
	uint64_t late_ms = now_ms - loop->ticked_ms;

	late_ms -= MIN(late_ms, loop->wait_ms);
	if (late_ms >= LOOP_LATE_MS)
		histogram_record(loop->stalls, late_ms);
	/* Only processes that stay watch signals. */
	if (late_ms >= LOOP_STALLED_MS && loop->signal_sock)
		log_warning("loop-stalled",
			    "the process did nothing on time for "
			    "%" G_GUINT64_FORMAT
			    " ms, after a wait of %u ms; it used "
			    "%" G_GUINT64_FORMAT
			    " ms of CPU in the last %" G_GUINT64_FORMAT " ms",
			    late_ms, loop->wait_ms, cpu_now_ms() - loop->cpu_ms,
			    now_ms - loop->cpu_read_ms);
	if (now_ms - loop->cpu_read_ms >= LOOP_CPU_INTERVAL_MS) {
		loop->cpu_ms = cpu_now_ms();
		loop->cpu_read_ms = now_ms;
	}
	loop->ticked_ms = now_ms;
}

void loop_metrics_append(const struct loop *loop, GString *out)
{
	histogram_render(loop->stalls, out);
}

void loop_run_until_stopped(struct loop *loop)
{
	uint32_t wait_ms = 0;

	loop->stop_requested = false;
	loop->ticked_ms = loop_now_ms();
	loop->cpu_ms = cpu_now_ms();
	loop->cpu_read_ms = loop->ticked_ms;
	while (!loop->stop_requested) {
		loop->wait_ms = wait_ms;
		h2o_evloop_run(loop->h2o, (int32_t)wait_ms);
		iteration_observe(loop, loop_now_ms());
		/*
		 * When a timer callback writes to a socket, h2o 2.2.5 runs the
		 * write callback and starts to read the response only in its
		 * next iteration, so that iteration must not wait.
		 */
		wait_ms = timer_queue_wait_ms(loop->timers, loop_now_ms(),
					      LOOP_WAIT_MAX_MS);
		if (wait_ms == 0)
			timer_queue_run(loop->timers, loop_now_ms());
	}
}

void loop_stop(struct loop *loop)
{
	loop->stop_requested = true;
}

h2o_loop_t *loop_h2o(struct loop *loop)
{
	return loop->h2o;
}

struct timer_queue *loop_timers(struct loop *loop)
{
	return loop->timers;
}

void loop_timer_set(struct loop *loop, struct timer *timer, uint64_t delay_ms)
{
	timer_set(loop->timers, timer, loop_now_ms() + delay_ms);
}

static void on_signal_readable(h2o_socket_t *sock, const char *err)
{
	struct loop *loop = sock->data;
	struct signalfd_siginfo info;

	if (err)
		return;
	while (read(h2o_socket_get_fd(sock), &info, sizeof(info)) ==
	       (ssize_t)sizeof(info))
		loop->signal_cb(loop->signal_data, (int)info.ssi_signo);
}

static void watched_signals_fill(sigset_t *set)
{
	sigemptyset(set);
	for (size_t i = 0; i < G_N_ELEMENTS(loop_signals); i++)
		sigaddset(set, loop_signals[i]);
}

/* Keeps a handler, which a profiler or another library has installed. */
static void signal_ignore(int signo)
{
	const struct sigaction ignore = { .sa_handler = SIG_IGN };
	struct sigaction current;

	if (sigaction(signo, NULL, &current) == 0 &&
	    !(current.sa_flags & SA_SIGINFO) && current.sa_handler == SIG_DFL)
		sigaction(signo, &ignore, NULL);
}

void loop_signals_block(void)
{
	sigset_t set;

	watched_signals_fill(&set);
	sigprocmask(SIG_BLOCK, &set, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(loop_meaningless_signals); i++)
		signal_ignore(loop_meaningless_signals[i]);
	for (int signo = SIGRTMIN; signo <= SIGRTMAX; signo++)
		signal_ignore(signo);
}

enum err_kind loop_signals_watch(struct loop *loop, loop_signal_cb cb,
				 void *data)
{
	sigset_t set;
	int fd;

	loop_signals_block();
	watched_signals_fill(&set);
	fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
	if (fd < 0)
		return ERR_IO;
	loop->signal_cb = cb;
	loop->signal_data = data;
	loop->signal_sock = h2o_evloop_socket_create(loop->h2o, fd,
						     H2O_SOCKET_FLAG_DONT_READ);
	loop->signal_sock->data = loop;
	h2o_socket_read_start(loop->signal_sock, on_signal_readable);
	return ERR_NONE;
}

static enum err_kind listen_fd_open(const char *ip, uint16_t port, int *out)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_port = htons(port) };
	int on = 1;
	int fd;

	if (inet_pton(AF_INET, ip, &addr.sin_addr) != 1)
		return ERR_INVALID;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return ERR_IO;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&addr, sizeof(addr)) != 0 ||
	    listen(fd, LOOP_LISTEN_BACKLOG) != 0) {
		close(fd);
		return ERR_IO;
	}
	*out = fd;
	return ERR_NONE;
}

enum err_kind loop_listen(struct loop *loop, const char *ip, uint16_t port,
			  h2o_socket_cb on_accept, void *data,
			  h2o_socket_t **out)
{
	int fd = -1;
	enum err_kind err = listen_fd_open(ip, port, &fd);

	if (err != ERR_NONE)
		return err;
	*out = h2o_evloop_socket_create(loop->h2o, fd,
					H2O_SOCKET_FLAG_DONT_READ);
	(*out)->data = data;
	h2o_socket_read_start(*out, on_accept);
	return ERR_NONE;
}

uint16_t loop_listen_port(h2o_socket_t *sock)
{
	struct sockaddr_in addr = { 0 };
	socklen_t len = sizeof(addr);

	if (getsockname(h2o_socket_get_fd(sock), (struct sockaddr *)&addr,
			&len) != 0)
		return 0;
	return ntohs(addr.sin_port);
}
