#include "runner_process.h"

#include <fcntl.h>
#include <lauxlib.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#define ARGUMENTS_MAX 64

/* How a child process is set up before its program starts. */
struct child_setup {
	const char *log;
	/* file for standard output, opened for reading too so that a FIFO
	 * without a reader can be opened; NULL for the log */
	const char *standard_output;
	/* standard output is a pipe whose reading end is closed */
	bool stdout_unread;
	/* digits of the standard descriptors that are closed, or "" */
	const char *closed;
	/* NULL-terminated list of NAME=VALUE, added to the environment */
	char **environment;
	/* signal that is ignored, as after nohup; 0 for none */
	int ignored_signal;
	/* limits, 0 for those of the runner */
	uint64_t descriptors_max;
	uint64_t address_space_bytes;
	uint64_t file_bytes_max;
};

static void child_limit(int resource, uint64_t limit)
{
	const struct rlimit both = { .rlim_cur = limit, .rlim_max = limit };

	if (limit > 0 && setrlimit(resource, &both) != 0)
		_exit(126);
}

static int child_output_open(const struct child_setup *setup, int out)
{
	int pipe_fds[2];

	if (setup->standard_output)
		return open(setup->standard_output, O_RDWR | O_CREAT | O_APPEND,
			    0644);
	if (!setup->stdout_unread || pipe2(pipe_fds, O_CLOEXEC) != 0)
		return out;
	close(pipe_fds[0]);
	return pipe_fds[1];
}

static void child_exec(char **argv, const struct child_setup *setup, int out,
		       const sigset_t *mask)
{
	int err = open(setup->log, O_WRONLY | O_CREAT | O_APPEND, 0644);

	out = child_output_open(setup, out);
	dup2(out < 0 ? err : out, STDOUT_FILENO);
	dup2(err, STDERR_FILENO);
	for (const char *digit = setup->closed; *digit; digit++)
		close(*digit - '0');
	if (setup->ignored_signal != 0)
		signal(setup->ignored_signal, SIG_IGN);
	sigprocmask(SIG_SETMASK, mask, NULL);
	child_limit(RLIMIT_NOFILE, setup->descriptors_max);
	child_limit(RLIMIT_AS, setup->address_space_bytes);
	child_limit(RLIMIT_FSIZE, setup->file_bytes_max);
	for (char **variable = setup->environment; *variable; variable++)
		putenv(*variable);
	execv(argv[0], argv);
	_exit(127);
}

/* Starts a program. If out is not NULL, it receives the read end of a pipe from
 * the program's standard output, which otherwise goes to the log. */
static pid_t child_start(char **argv, const struct child_setup *setup, int *out)
{
	int pipe_fds[2] = { -1, -1 };
	sigset_t all;
	sigset_t mask;
	pid_t pid;

	if (out && pipe2(pipe_fds, O_CLOEXEC) != 0)
		return -1;
	/* A signal sent at once waits until the child has set it up. */
	sigfillset(&all);
	sigprocmask(SIG_SETMASK, &all, &mask);
	pid = fork();
	if (pid == 0)
		child_exec(argv, setup, pipe_fds[1], &mask);
	sigprocmask(SIG_SETMASK, &mask, NULL);
	if (out) {
		close(pipe_fds[1]);
		*out = pipe_fds[0];
	}
	return pid;
}

static void argv_read(lua_State *lua, char *argv[ARGUMENTS_MAX])
{
	lua_Integer count = luaL_len(lua, 1);

	luaL_argcheck(lua, count < ARGUMENTS_MAX, 1,
		      "too many program arguments");
	for (lua_Integer i = 1; i <= count; i++) {
		lua_geti(lua, 1, i);
		argv[i - 1] = (char *)luaL_checkstring(lua, -1);
		lua_pop(lua, 1);
	}
	argv[count] = NULL;
}

static char *program_path(lua_State *lua, const char *name)
{
	return g_build_filename(runner_from_lua(lua)->bin_dir, name, NULL);
}

static int signal_number(lua_State *lua, const char *name)
{
	const struct {
		const char *name;
		int signo;
	} signals[] = { { "KILL", SIGKILL },   { "TERM", SIGTERM },
			{ "INT", SIGINT },     { "QUIT", SIGQUIT },
			{ "HUP", SIGHUP },     { "PIPE", SIGPIPE },
			{ "USR1", SIGUSR1 },   { "USR2", SIGUSR2 },
			{ "ALRM", SIGALRM },   { "VTALRM", SIGVTALRM },
			{ "PROF", SIGPROF },   { "POLL", SIGPOLL },
			{ "PWR", SIGPWR },     { "CHLD", SIGCHLD },
			{ "URG", SIGURG },     { "WINCH", SIGWINCH },
			{ "TSTP", SIGTSTP },   { "TTIN", SIGTTIN },
			{ "TTOU", SIGTTOU },   { "XCPU", SIGXCPU },
			{ "XFSZ", SIGXFSZ },   { "STKFLT", SIGSTKFLT },
			{ "RTMIN", SIGRTMIN }, { "RTMAX", SIGRTMAX },
			{ "STOP", SIGSTOP },   { "CONT", SIGCONT } };

	for (size_t i = 0; i < G_N_ELEMENTS(signals); i++) {
		if (strcmp(signals[i].name, name) == 0)
			return signals[i].signo;
	}
	return luaL_error(lua, "unknown signal %s", name);
}

static char **environment_read(lua_State *lua)
{
	GPtrArray *variables = g_ptr_array_new();

	if (lua_getfield(lua, 1, "environment") == LUA_TTABLE) {
		for (lua_pushnil(lua); lua_next(lua, -2); lua_pop(lua, 1))
			g_ptr_array_add(variables,
					g_strconcat(lua_tostring(lua, -2), "=",
						    lua_tostring(lua, -1),
						    NULL));
	}
	lua_pop(lua, 1);
	g_ptr_array_add(variables, NULL);
	return (char **)g_ptr_array_free(variables, FALSE);
}

static void setup_read(lua_State *lua, struct child_setup *setup)
{
	const char *ignored = runner_table_string(lua, "ignored", NULL);

	setup->log = runner_table_string(lua, "log", "/dev/null");
	setup->standard_output = runner_table_string(lua, "stdout", NULL);
	setup->stdout_unread =
		runner_table_integer(lua, "stdout_unread", 0) != 0;
	setup->closed = runner_table_string(lua, "closed", "");
	setup->environment = environment_read(lua);
	if (ignored)
		setup->ignored_signal = signal_number(lua, ignored);
	setup->descriptors_max =
		(uint64_t)runner_table_integer(lua, "descriptors_max", 0);
	setup->address_space_bytes =
		(uint64_t)runner_table_integer(lua, "address_space_bytes", 0);
	setup->file_bytes_max =
		(uint64_t)runner_table_integer(lua, "file_bytes_max", 0);
}

/* Starts the program named in a binding's argument table, see child_start(). */
static pid_t program_start(lua_State *lua, int *out)
{
	char *argv[ARGUMENTS_MAX];
	struct child_setup setup = { 0 };
	g_autofree char *program = NULL;
	pid_t pid;

	setup_read(lua, &setup);
	argv_read(lua, argv);
	program = program_path(lua, argv[0]);
	argv[0] = program;
	pid = child_start(argv, &setup, out);
	g_strfreev(setup.environment);
	if (pid < 0)
		luaL_error(lua, "cannot start %s", program);
	return pid;
}

/* spawn{program, arguments..., log=FILE, stdout=FILE, closed=DIGITS,
 * stdout_unread=1, environment={NAME=VALUE}, ignored=SIGNAL, descriptors_max=N,
 * address_space_bytes=N, file_bytes_max=N} -> pid */
static int binding_spawn(lua_State *lua)
{
	pid_t pid = program_start(lua, NULL);

	g_array_append_val(runner_from_lua(lua)->pids, pid);
	lua_pushinteger(lua, pid);
	return 1;
}

/* run{program, arguments..., log=FILE} -> exit code, standard output */
static int binding_run(lua_State *lua)
{
	luaL_Buffer buffer;
	char chunk[4096];
	ssize_t count;
	int status;
	int out = -1;
	pid_t pid = program_start(lua, &out);

	luaL_buffinit(lua, &buffer);
	while ((count = read(out, chunk, sizeof(chunk))) > 0)
		luaL_addlstring(&buffer, chunk, (size_t)count);
	close(out);
	waitpid(pid, &status, 0);
	luaL_pushresult(&buffer);
	lua_pushinteger(lua, WIFEXITED(status) ? WEXITSTATUS(status) : -1);
	lua_rotate(lua, -2, 1);
	return 2;
}

static bool pid_is_child(const struct runner *runner, pid_t pid)
{
	for (guint i = 0; i < runner->pids->len; i++) {
		if (g_array_index(runner->pids, pid_t, i) == pid)
			return true;
	}
	return false;
}

/* signal(pid, name): sends a signal to a child process of the scenario */
static int binding_signal(lua_State *lua)
{
	pid_t pid = (pid_t)luaL_checkinteger(lua, 1);
	int signo = signal_number(lua, luaL_checkstring(lua, 2));

	if (!pid_is_child(runner_from_lua(lua), pid))
		return luaL_error(lua,
				  "process %d is not a child of the runner",
				  (int)pid);
	kill(pid, signo);
	return 0;
}

static void pid_remove(struct runner *runner, pid_t pid)
{
	for (guint i = 0; i < runner->pids->len; i++) {
		if (g_array_index(runner->pids, pid_t, i) == pid) {
			g_array_remove_index_fast(runner->pids, i);
			return;
		}
	}
}

/* exited(pid) -> nil while the process runs, then its exit code, or the negated
 * number of the signal that killed it */
static int binding_exited(lua_State *lua)
{
	pid_t pid = (pid_t)luaL_checkinteger(lua, 1);
	int status;

	if (waitpid(pid, &status, WNOHANG) != pid)
		return 0;
	pid_remove(runner_from_lua(lua), pid);
	lua_pushinteger(lua, WIFEXITED(status) ? WEXITSTATUS(status)
					       : -WTERMSIG(status));
	return 1;
}

void runner_process_kill_all(struct runner *runner)
{
	for (guint i = 0; i < runner->pids->len; i++) {
		pid_t pid = g_array_index(runner->pids, pid_t, i);

		kill(pid, SIGKILL);
		waitpid(pid, NULL, 0);
	}
}

void runner_process_register(lua_State *lua)
{
	lua_register(lua, "spawn", binding_spawn);
	lua_register(lua, "run", binding_run);
	lua_register(lua, "signal", binding_signal);
	lua_register(lua, "exited", binding_exited);
}
