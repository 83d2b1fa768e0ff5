# One package: a library from src/, public headers in include/, and one test
# program from tests/.
#
#   egretladder_package(NAME DEPENDS packages... LIBRARIES imported targets...)
set(EGRETLADDER_PACKAGES "" CACHE INTERNAL "")

# Keeps every object of every package in the link, so that plug-ins which only
# register themselves are not dropped by the linker.
function(egretladder_link_whole target)
  set(override WHOLE_ARCHIVE ${EGRETLADDER_PACKAGES})
  string(REPLACE ";" "," override "${override}")
  set_property(TARGET ${target} PROPERTY LINK_LIBRARY_OVERRIDE "${override}")
endfunction()

function(egretladder_package name)
  cmake_parse_arguments(ARG "" "" "DEPENDS;LIBRARIES" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS src/*.cc)
  file(GLOB generated CONFIGURE_DEPENDS generated/*.c++)
  add_library(egretladder_${name} STATIC ${sources} ${generated})
  target_include_directories(egretladder_${name}
    PUBLIC include
    PRIVATE src)
  if(generated)
    target_include_directories(egretladder_${name} SYSTEM PRIVATE generated)
    set_source_files_properties(${generated} PROPERTIES COMPILE_OPTIONS "-w")
  endif()
  list(TRANSFORM ARG_DEPENDS PREPEND egretladder_)
  target_link_libraries(egretladder_${name} PUBLIC ${ARG_DEPENDS} ${ARG_LIBRARIES})
  set(EGRETLADDER_PACKAGES ${EGRETLADDER_PACKAGES} egretladder_${name}
    CACHE INTERNAL "")

  file(GLOB tests CONFIGURE_DEPENDS tests/*_test.cc tests/harness*.cc)
  if(tests AND EGRETLADDER_TESTS)
    add_executable(${name}_tests tests/main.cc ${tests})
    target_include_directories(${name}_tests PRIVATE src tests)
    if(generated)
      target_include_directories(${name}_tests SYSTEM PRIVATE generated)
    endif()
    target_compile_definitions(${name}_tests PRIVATE
      EGRETLADDER_SOURCE_DIR="${CMAKE_SOURCE_DIR}"
      CPPUTEST_MEM_LEAK_DETECTION_DISABLED)
    target_link_libraries(${name}_tests PRIVATE egretladder_${name}
      PkgConfig::CPPUTEST)
    egretladder_link_whole(${name}_tests)
    add_test(NAME ${name} COMMAND ${name}_tests)
  endif()
endfunction()
