add_executable(bench_decisions bench_decisions.c sim_trace.c sim_dispatch.c
               sim_requests.c sim_limit.c sim_moves.c sim_cost.c sim_report.c)
target_link_libraries(bench_decisions PRIVATE core PkgConfig::JANSSON m)
