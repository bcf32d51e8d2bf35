# Compiler options shared by all targets.
set(CMAKE_CXX_STANDARD 17)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)

add_library(gr_options INTERFACE)
target_compile_options(gr_options INTERFACE -Wall -Wextra -Werror)
target_include_directories(gr_options INTERFACE ${PROJECT_SOURCE_DIR}/src)

set(GALENAROAD_SANITIZE "" CACHE STRING "Sanitizers to enable, as in -fsanitize=")
if(GALENAROAD_SANITIZE)
  add_compile_options(-fsanitize=${GALENAROAD_SANITIZE} -fno-omit-frame-pointer)
  add_link_options(-fsanitize=${GALENAROAD_SANITIZE})
endif()

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  set(CMAKE_CXX_COMPILER_LAUNCHER ${CCACHE_PROGRAM})
endif()

# gr_library(NAME [LINK libraries...]) builds a static library from all sources of the folder.
function(gr_library name)
  cmake_parse_arguments(ARG "" "" "LINK" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  if(sources)
    add_library(${name} STATIC ${sources})
    target_link_libraries(${name} PUBLIC gr_options ${ARG_LINK})
  else()
    add_library(${name} INTERFACE)
    target_link_libraries(${name} INTERFACE gr_options ${ARG_LINK})
  endif()
endfunction()

# gr_program(NAME SOURCES files... [LINK libraries...]) builds an executable.
function(gr_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE gr_options ${ARG_LINK})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
endfunction()
