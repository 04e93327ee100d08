add_executable(bench_loader loader.c)
target_link_libraries(bench_loader PRIVATE runtime core)
add_executable(bench_bare bare.c)
target_link_libraries(bench_bare PRIVATE runtime core)
set_target_properties(bench_loader bench_bare PROPERTIES
                      RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/programs)
add_executable(bench_sizes sizes.c)
target_link_libraries(bench_sizes PRIVATE operator platform runtime core)
