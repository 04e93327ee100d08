#include "descriptor_limit.h"

#include <sys/resource.h>

uint64_t descriptor_limit_raise(void)
{
	struct rlimit limit;
	struct rlimit raised;

	if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
		return 0;
	raised = limit;
	raised.rlim_cur = raised.rlim_max;
	if (limit.rlim_cur < limit.rlim_max &&
	    setrlimit(RLIMIT_NOFILE, &raised) == 0)
		limit = raised;
	return limit.rlim_cur;
}
