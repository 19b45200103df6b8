# Links libwebsockets, Thrift and their OpenSSL dependencies statically if Debian provides the archives. As shared
# libraries they cost each process about 0.5 MiB of relocated pages that are not shared between processes, which adds
# up on many small machines. Sets DRIFTLUG_WEBSOCKETS and DRIFTLUG_THRIFT to the libraries to link.
find_library(DRIFTLUG_WEBSOCKETS_ARCHIVE libwebsockets.a)
find_library(DRIFTLUG_SSL_ARCHIVE libssl.a)
find_library(DRIFTLUG_CRYPTO_ARCHIVE libcrypto.a)
find_library(DRIFTLUG_CAP_ARCHIVE libcap.a)
find_library(DRIFTLUG_THRIFT_ARCHIVE libthrift.a)
if(DRIFTLUG_THRIFT_ARCHIVE AND DRIFTLUG_WEBSOCKETS_ARCHIVE AND DRIFTLUG_SSL_ARCHIVE AND DRIFTLUG_CRYPTO_ARCHIVE AND DRIFTLUG_CAP_ARCHIVE)
  set(DRIFTLUG_WEBSOCKETS ${DRIFTLUG_WEBSOCKETS_ARCHIVE} ${DRIFTLUG_SSL_ARCHIVE} ${DRIFTLUG_CRYPTO_ARCHIVE}
                          ${DRIFTLUG_CAP_ARCHIVE} z ${CMAKE_DL_LIBS} pthread)
  set(DRIFTLUG_THRIFT ${DRIFTLUG_THRIFT_ARCHIVE} ${DRIFTLUG_SSL_ARCHIVE} ${DRIFTLUG_CRYPTO_ARCHIVE})
  # Code that is not position-independent needs no relocation when the process starts.
  set(CMAKE_POSITION_INDEPENDENT_CODE OFF)
  add_link_options(-no-pie)
else()
  set(DRIFTLUG_WEBSOCKETS websockets)
  set(DRIFTLUG_THRIFT thrift)
endif()
