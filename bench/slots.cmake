add_executable(bench_slots bench_slots.c slots_trace.c)
target_link_libraries(bench_slots PRIVATE core m)
set_target_properties(bench_slots PROPERTIES
                      RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/programs)
# Runs in virtual time, so the result does not depend on the machine.
add_test(NAME bench_slots COMMAND bench_slots)
set_tests_properties(bench_slots PROPERTIES TIMEOUT 60)
