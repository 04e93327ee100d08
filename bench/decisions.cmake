add_executable(bench_decisions bench_decisions.c dec_trace.c dec_serve.c
               dec_requests.c dec_limit.c dec_moves.c dec_cost.c dec_report.c)
target_link_libraries(bench_decisions PRIVATE core PkgConfig::JANSSON m)
